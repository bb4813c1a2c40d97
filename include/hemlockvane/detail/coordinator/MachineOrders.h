#pragma once

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/fleet/MachineList.h"
#include "hemlockvane/fleet/WaveState.h"
#include "hemlockvane/time/Time.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

struct CoordinatorState;
struct FleetControlState;

/// @brief First character of the key of the newest order for a machine; the machine's id follows.
inline constexpr char machineOrderPrefix = 'm';

/// @brief Queues an order for the journal; it is sent once it is stored. The machine is reserved, so that no task is
/// started there.
auto placeMachineOrder(CoordinatorState& state, fleet::FleetAction action) -> void;

/// @brief Sends stored orders concurrently and applies their outcomes. If the ownership was not renewed recently, the
/// orders are abandoned.
auto sendMachineOrders(const std::shared_ptr<CoordinatorState>& state, std::vector<fleet::FleetAction> orders) -> void;

/// @brief Settles orders by a list of machines: once a list that was requested after an order's answer shows the
/// machine up, the order's outcome is known and the machine is no longer counted as down.
auto settleOrders(CoordinatorState& state, const fleet::MachineList& list) -> void;

/// @brief Settles the orders for machines that do not exist any more: they are no longer counted as down.
auto settleGoneMachines(CoordinatorState& state) -> void;

/// @brief Restores an earlier owner's order for a machine: no new order is sent while that one may still be carried
/// out.
/// @result false when the record cannot be parsed
auto restoreMachineOrder(CoordinatorState& state, const std::string& machine, std::string_view bytes) -> bool;

/// @brief Whether an earlier owner's order for a machine may still be carried out at the given time.
auto mayEarlierOrderArrive(const FleetControlState& fleetState, const std::string& machine, Instant at) -> bool;

/// @brief Whether orders for machines may be sent: only shortly after a renewal of the ownership.
auto mayOrderMachines(const CoordinatorState& state) -> bool;

/// @brief Reserves a machine, or releases it to its pool.
auto setReserved(CoordinatorState& state, const std::string& machine, bool isReserved) -> void;

/// @brief Queues a wave's progress for the journal.
auto storeWave(CoordinatorState& state, const fleet::WaveState& wave) -> void;

} // namespace hemlockvane::detail
