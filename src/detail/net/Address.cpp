#include "hemlockvane/detail/net/Address.h"

#include <charconv>
#include <string>

namespace hemlockvane::detail {

auto parseAddress(std::string_view text, FailureReason& reason) -> std::optional<boost::asio::ip::tcp::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(reason, ErrorKind::BadRequest, "expected IP:port, got '" + std::string(text) + "'");
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size())
        return fail(reason, ErrorKind::BadRequest, "expected IP:port, got '" + std::string(text) + "'");
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace hemlockvane::detail
