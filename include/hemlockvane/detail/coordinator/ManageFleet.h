#pragma once

#include "hemlockvane/fleet/WaveState.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Moves machines between pools and takes them through waves, until the ownership ends.
auto manageFleet(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

/// @brief Takes in an operators' wave; one that is known already is left as it is.
auto addWave(CoordinatorState& state, const fleet::WaveState& wave) -> void;

} // namespace hemlockvane::detail
