#pragma once

#include "hemlockvane/detail/coordinator/MachineOrder.h"
#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/MachineHistory.h"
#include "hemlockvane/fleet/WaveState.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hemlockvane::detail {

/// @brief The coordinator's state of machines and waves.
struct FleetControlState {
    fleet::FleetTiming m_timing;
    fleet::MachineHistory m_machines;
    std::map<std::uint64_t, fleet::WaveState> m_waves;
    std::map<std::string, MachineOrder>
        m_outstandingOrders; ///< By machine; kept until the list of machines shows the outcome.
    std::set<std::string> m_reserved;
    std::map<std::string, Instant> m_reservedSince; ///< By reserved machine.
    std::map<std::string, std::string> m_drainedFor; ///< By reserved machine: pool for whose long-running tasks it is.
    std::map<std::string, Instant> m_waitOfLongRunningSince; ///< By pool whose long-running tasks want machines.
    std::map<std::uint64_t, Instant> m_paceReportedAt; ///< By wave: when its progress was last reported.
    Instant m_capacityReportedAt; ///< When capacity and demand were last reported.
    std::map<std::string, Instant> m_idleSince;
    std::set<std::string> m_reportedWaveStates; ///< Wave numbers and states already reported to the operators.
    std::map<std::string, Instant>
        m_earlierOrderPossibleUntil; ///< By machine: until then an order of an earlier owner may be carried out.
};

} // namespace hemlockvane::detail
