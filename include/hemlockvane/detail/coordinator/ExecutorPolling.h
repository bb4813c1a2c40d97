#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include "hemlockvane/detail/ports/TopicContent.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Takes in the whole list of executors.
auto loadExecutors(const std::shared_ptr<CoordinatorState>& state, const TopicContent& content) -> void;

/// @brief Follows the list of executors until the ownership ends.
auto followExecutors(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

/// @brief Looks at one executor while it has runs, or ends that it may forget; until the ownership ends.
auto pollExecutor(std::shared_ptr<CoordinatorState> state, scheduling::ExecutorIndex index)
    -> boost::asio::awaitable<void>;

/// @brief Wakes the watch of an executor.
auto wakePolling(CoordinatorState& state, const std::string& id) -> void;

} // namespace hemlockvane::detail
