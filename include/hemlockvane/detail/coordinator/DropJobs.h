#pragma once

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Removes ended jobs from the store after the retention period; runs until the ownership ends.
auto dropOldJobs(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
