#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include "hemlockvane/detail/ports/TopicContent.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace hemlockvane::scheduling {
struct Executor;
}

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Applies the whole registry of executors.
auto loadExecutors(const std::shared_ptr<CoordinatorState>& state, const TopicContent& content) -> void;

/// @brief Follows the registry of executors until the ownership ends.
auto followExecutors(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

/// @brief Polls one executor while it has runs or ended runs to acknowledge; runs until the ownership ends.
auto pollExecutor(std::shared_ptr<CoordinatorState> state, scheduling::ExecutorIndex index)
    -> boost::asio::awaitable<void>;

/// @brief Token of this owner's requests to the present life of an executor.
[[nodiscard]] auto fencingTokenFor(const CoordinatorState& state, scheduling::ExecutorIndex index) -> std::uint64_t;

/// @brief Whether an executor has refused this owner's epoch and no renewal that was sent later has been stored.
///
/// Then a newer owner has called it, also if this owner cannot read that from the store: it is not called any more.
[[nodiscard]] auto hasNewerOwner(const CoordinatorState& state, const scheduling::Executor& executor) -> bool;

/// @brief Wakes the polling of an executor.
auto wakePolling(CoordinatorState& state, const std::string& id) -> void;

} // namespace hemlockvane::detail
