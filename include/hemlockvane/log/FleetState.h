#pragma once

#include "hemlockvane/configuration/ConfigurationState.h"
#include "hemlockvane/jobs/JobState.h"
#include "hemlockvane/keys/KeyState.h"
#include "hemlockvane/log/OperationWindow.h"
#include "hemlockvane/log/SnapshotProgress.h"
#include "hemlockvane/maintenance/MaintenanceState.h"
#include "hemlockvane/membership/MembershipState.h"
#include "hemlockvane/pools/PoolState.h"

namespace hemlockvane {

/// @brief Everything that the log says, folded up to an offset. Equal offsets give equal states on every entry.
struct FleetState {
    Offset m_nextOffset = 0; ///< Next offset to fold.
    std::uint64_t m_chainHash = 0; ///< Over every operation and its result so far.
    WallMillis m_clock = 0; ///< Latest stamp folded.
    bool m_halted = false; ///< A record of a newer format was met at m_nextOffset.
    ConfigurationState m_configuration;
    KeyState m_keys;
    MembershipState m_membership;
    JobState m_jobs;
    PoolState m_pools;
    MaintenanceState m_maintenance;
    OperationWindow m_operations;
    SnapshotProgress m_snapshots;
};

} // namespace hemlockvane
