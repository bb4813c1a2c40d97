#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief A call of the interface, matched to its route.
struct ApiCall {
    HttpRequest m_request;
    std::vector<std::string> m_captures; ///< Segments that the pattern's "{}" matched.
    boost::json::object m_body;
};

} // namespace hemlockvane::detail
