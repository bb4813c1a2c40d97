#pragma once

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Drops jobs from the store once their final states have been told for long enough, until the ownership ends.
auto dropOldJobs(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
