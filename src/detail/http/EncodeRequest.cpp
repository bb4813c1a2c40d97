#include "hemlockvane/detail/http/EncodeRequest.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <span>

namespace hemlockvane::detail {

namespace {

constexpr std::string_view hostName = "Host";
constexpr std::string_view lengthName = "Content-Length";
constexpr std::string_view codingName = "Transfer-Encoding";

auto appendHeader(std::string_view name, std::string_view value, std::string& bytes) -> void
{
    bytes.append(name).append(": ").append(value).append("\r\n");
}

auto isRepeated(std::string_view name, std::span<const HttpHeader> later) -> bool
{
    return std::any_of(
        later.begin(), later.end(), [&](const HttpHeader& header) { return isSameHeaderName(header.m_name, name); });
}

auto hasBody(const HttpRequest& request) -> bool
{
    return !request.m_body.empty() || request.m_method == "POST" || request.m_method == "PUT"
        || request.m_method == "OPTIONS";
}

} // namespace

auto encodeRequest(const HttpRequest& request, std::string_view host, std::string& bytes) -> void
{
    bytes.clear();
    bytes.append(request.m_method).append(" ").append(request.m_target).append(" HTTP/1.1\r\n");
    if (!isRepeated(hostName, request.m_headers))
        appendHeader(hostName, host, bytes);
    std::span<const HttpHeader> rest(request.m_headers);
    while (!rest.empty()) {
        const auto& header = rest.front();
        rest = rest.subspan(1);
        const auto isFraming
            = isSameHeaderName(header.m_name, lengthName) || isSameHeaderName(header.m_name, codingName);
        if (!isFraming && !isRepeated(header.m_name, rest))
            appendHeader(header.m_name, header.m_value, bytes);
    }
    if (hasBody(request)) {
        char digits[std::numeric_limits<std::size_t>::digits10 + 1];
        const auto* end = std::to_chars(std::begin(digits), std::end(digits), request.m_body.size()).ptr;
        appendHeader(lengthName, std::string_view(std::begin(digits), static_cast<std::size_t>(end - digits)), bytes);
    }
    bytes.append("\r\n").append(request.m_body);
}

} // namespace hemlockvane::detail
