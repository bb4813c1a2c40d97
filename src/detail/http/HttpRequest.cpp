#include "hemlockvane/detail/http/HttpRequest.h"

#include <boost/beast/core/string.hpp>

namespace hemlockvane::detail {

auto isSameHeaderName(std::string_view left, std::string_view right) -> bool
{
    return boost::beast::iequals(left, right);
}

auto findHeader(const std::vector<HttpHeader>& headers, std::string_view name) -> std::string_view
{
    for (const auto& header : headers) {
        if (isSameHeaderName(header.m_name, name))
            return header.m_value;
    }
    return {};
}

} // namespace hemlockvane::detail
