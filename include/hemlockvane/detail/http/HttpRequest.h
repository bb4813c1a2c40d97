#pragma once

#include "hemlockvane/detail/http/HttpHeader.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief An HTTP request, independent of the HTTP library.
struct HttpRequest {
    std::string m_method = "GET";
    std::string m_target = "/";
    std::vector<HttpHeader> m_headers;
    std::string m_body;
};

/// @brief True when two header names are equal, ignoring case.
auto isSameHeaderName(std::string_view left, std::string_view right) -> bool;

/// @brief Value of the first header with a name, ignoring case.
/// @result empty when there is no such header; valid while the headers live
auto findHeader(const std::vector<HttpHeader>& headers, std::string_view name) -> std::string_view;

} // namespace hemlockvane::detail
