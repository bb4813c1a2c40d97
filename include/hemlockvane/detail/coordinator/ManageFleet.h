#pragma once

#include "hemlockvane/fleet/WaveState.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Moves machines between pools and carries out maintenance waves, until the ownership ends.
auto manageFleet(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

/// @brief Adds a wave that the operators ordered; the progress of a known wave is kept.
auto addWave(CoordinatorState& state, const fleet::WaveState& wave) -> void;

} // namespace hemlockvane::detail
