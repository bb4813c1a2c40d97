#pragma once

#include "hemlockvane/detail/http/HttpHeader.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief An HTTP request as the shell passes it on.
struct HttpRequest {
    std::string m_method = "GET";
    std::string m_target = "/";
    std::vector<HttpHeader> m_headers;
    std::string m_body;
};

/// @brief True when two names of header fields are the same; case does not count.
auto isSameHeaderName(std::string_view left, std::string_view right) -> bool;

/// @brief Value of a header field; names compare without case.
/// @result empty when the field is missing
auto findHeader(const std::vector<HttpHeader>& headers, std::string_view name) -> std::string_view;

} // namespace hemlockvane::detail
