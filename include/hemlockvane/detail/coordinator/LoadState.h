#pragma once

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Fences earlier owners and restores the stored state. The topics are read concurrently, since a slow store
/// takes half a second for each.
/// @result false when the store refuses this owner, or the ownership ended
auto loadState(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<bool>;

} // namespace hemlockvane::detail
