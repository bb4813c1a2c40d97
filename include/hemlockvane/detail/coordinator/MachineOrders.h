#pragma once

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/fleet/WaveState.h"
#include "hemlockvane/time/Time.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

struct CoordinatorState;
struct FleetControlState;

/// @brief First character of the key of the newest order for a machine, before the machine's id.
inline constexpr char machineOrderPrefix = 'm';

/// @brief Has an order stored, to be sent once the store holds it; nothing is started on the machine any more.
auto placeMachineOrder(CoordinatorState& state, fleet::FleetAction action) -> void;

/// @brief Sends stored orders, each on its own, and applies their answers; those that waited too long for the store
/// are given up.
auto sendMachineOrders(const std::shared_ptr<CoordinatorState>& state, std::vector<fleet::FleetAction> orders) -> void;

/// @brief Keeps this owner's distance from an earlier owner's order for a machine.
/// @result false for a record that cannot be read
auto restoreMachineOrder(CoordinatorState& state, const std::string& machine, std::string_view bytes) -> bool;

/// @brief Whether an earlier owner's order for a machine may still be carried out at a time.
auto mayEarlierOrderArrive(const FleetControlState& owned, const std::string& machine, Instant at) -> bool;

/// @brief Whether orders for machines may go out: the ownership was just renewed.
auto mayOrderMachines(const CoordinatorState& state) -> bool;

/// @brief Sets a machine aside, or gives it back to its pool.
auto setReserved(CoordinatorState& state, const std::string& machine, bool isReserved) -> void;

/// @brief Has a wave's progress stored.
auto storeWave(CoordinatorState& state, const fleet::WaveState& wave) -> void;

} // namespace hemlockvane::detail
