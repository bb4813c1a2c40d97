#pragma once

#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Parses an address of the form "IP:port".
/// @param reason receives BadRequest
/// @result empty on error
auto parseAddress(std::string_view text, FailureReason& reason) -> std::optional<boost::asio::ip::tcp::endpoint>;

} // namespace hemlockvane::detail
