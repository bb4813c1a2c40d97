#pragma once

#include "hemlockvane/detail/platform/ListedInstance.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief Reads the platform's list of live and leaving instances.
/// @param address IP number and port of the instance list service
/// @param reason receives NoCapacity, AnswerLost or Internal
/// @result empty on error
auto readInstanceList(std::string_view address, std::chrono::milliseconds timeout, FailureReason& reason)
    -> boost::asio::awaitable<std::optional<std::vector<ListedInstance>>>;

/// @brief Adds this instance to the list or updates its entry.
/// @result true when the list service accepted the entry
auto registerInstance(std::string_view address, const ListedInstance& instance, std::chrono::milliseconds timeout,
    FailureReason& reason) -> boost::asio::awaitable<bool>;

/// @brief Removes this instance from the list after it has stopped.
/// @result true when the list service removed the entry
auto deregisterInstance(std::string_view address, std::string_view instance, std::chrono::milliseconds timeout,
    FailureReason& reason) -> boost::asio::awaitable<bool>;

} // namespace hemlockvane::detail
