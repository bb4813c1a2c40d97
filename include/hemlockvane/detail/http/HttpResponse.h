#pragma once

#include "hemlockvane/detail/http/HttpHeader.h"

#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief A complete HTTP response.
struct HttpResponse {
    unsigned m_status = 200;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
};

} // namespace hemlockvane::detail
