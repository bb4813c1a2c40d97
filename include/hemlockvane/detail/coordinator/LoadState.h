#pragma once

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Shuts earlier owners out and takes in what is stored; the topics are read side by side, since a slow store
/// takes half a second for each.
/// @result false when the store refuses this owner, or the ownership ended
auto loadState(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<bool>;

} // namespace hemlockvane::detail
