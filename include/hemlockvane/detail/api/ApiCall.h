#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief A call of the operators' interface, matched to its route.
struct ApiCall {
    HttpRequest m_request;
    std::vector<std::string> m_captures; ///< Path segments that the "{}" of the pattern matched, in order.
    boost::json::object m_body; ///< Parsed body; empty when the request has none.
};

} // namespace hemlockvane::detail
