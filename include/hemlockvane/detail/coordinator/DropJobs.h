#pragma once

#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Ended jobs whose final state is stored and has been available for the retention period, as many as one append
/// may remove.
auto droppableJobs(const CoordinatorState& state, WallMillis wall) -> std::vector<scheduling::JobId>;

/// @brief Jobs that were cancelled but not submitted for as long, as many as one append may remove.
auto droppableCancellations(const CoordinatorState& state, WallMillis wall) -> std::vector<scheduling::JobId>;

/// @brief Removes ended jobs, and cancellations of jobs that were never submitted, from the store after the retention
/// period; runs until the ownership ends.
auto dropOldJobs(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
