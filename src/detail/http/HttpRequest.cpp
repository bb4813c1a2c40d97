#include "hemlockvane/detail/http/HttpRequest.h"

#include <boost/beast/core/string.hpp>

namespace hemlockvane::detail {

auto findHeader(const std::vector<HttpHeader>& headers, std::string_view name) -> std::string_view
{
    for (const auto& header : headers) {
        if (boost::beast::iequals(header.m_name, name))
            return header.m_value;
    }
    return {};
}

} // namespace hemlockvane::detail
