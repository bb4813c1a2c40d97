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
/// @param address IP number and port of the list
/// @param reason receives NoCapacity, AnswerLost or Internal
auto readInstanceList(std::string_view address, std::chrono::milliseconds timeout, FailureReason& reason)
    -> boost::asio::awaitable<std::optional<std::vector<ListedInstance>>>;

/// @brief Announces or updates this instance in the list.
auto registerInstance(std::string_view address, const ListedInstance& instance, std::chrono::milliseconds timeout,
    FailureReason& reason) -> boost::asio::awaitable<bool>;

/// @brief Takes this instance off the list: it has stopped.
auto deregisterInstance(std::string_view address, std::string_view instance, std::chrono::milliseconds timeout,
    FailureReason& reason) -> boost::asio::awaitable<bool>;

} // namespace hemlockvane::detail
