#pragma once

#include "hemlockvane/fleet/Machine.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane::fleet {

/// @brief A machine with the state and load of its executor.
struct MachineView {
    Machine m_machine;
    bool m_hasExecutor = false; ///< True when its executor is listed and responds.
    bool m_mayHaveUnknownRuns = false; ///< True while runs of an earlier owner may be on it that are not known yet.
    bool m_isReserved = false; ///< True while no new tasks are placed on it.
    bool m_hasPendingOrder = false; ///< True while an order for it is in flight or not yet visible in the machine list.
    bool m_isZoneEvacuated = false; ///< True while no task is started in its availability zone.
    bool m_isSpare = false; ///< True when it is in a spare pool.
    std::string m_destinationPool; ///< Pool that it is moving to; empty when it is not moving.
    std::string m_drainedFor; ///< Pool for whose long-running tasks it is drained; empty: none.
    std::uint32_t m_runs = 0; ///< Number of runs on its executor.
    std::uint32_t m_activeLongRunningRuns = 0; ///< Number of these that belong to long-running tasks.
    std::int64_t m_usedCpuMilliCores = 0;
    bool m_isMaintenanceDue = false; ///< True while a wave that is not completed includes it.
    Instant m_reservedSince; ///< Valid only while it is reserved.
    Instant m_idleSince; ///< When its last run ended; valid only while it has none.
};

} // namespace hemlockvane::fleet
