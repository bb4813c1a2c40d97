#include "hemlockvane/detail/api/BearerKey.h"

namespace hemlockvane::detail {

auto bearerKey(const HttpRequest& request) -> std::string_view
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = findHeader(request.m_headers, "Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
}

} // namespace hemlockvane::detail
