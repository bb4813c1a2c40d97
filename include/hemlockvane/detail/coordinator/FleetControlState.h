#pragma once

#include "hemlockvane/detail/coordinator/MachineOrder.h"
#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/Machine.h"
#include "hemlockvane/fleet/WaveState.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief What the owner knows of the machines.
struct FleetControlState {
    fleet::FleetTiming m_timing;
    std::vector<fleet::Machine> m_machines; ///< As last listed.
    Instant m_listedAt; ///< When the last list was asked for.
    std::map<std::uint64_t, fleet::WaveState> m_waves;
    std::map<std::string, MachineOrder> m_outstandingOrders; ///< By machine, until the list shows what came of it.
    std::set<std::string> m_reserved;
    Instant m_capacityReportedAt; ///< When room and demand were last told.
    std::map<std::string, Instant> m_idleSince;
    std::set<std::string> m_reportedWaveStates; ///< Wave number and state, as last told to the operators.
    std::map<std::string, Instant> m_earlierOrderPossibleUntil; ///< By machine, after an earlier owner's order for it.
};

} // namespace hemlockvane::detail
