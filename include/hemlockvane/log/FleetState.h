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

/// @brief The replicated state: the fold of all records up to an offset. It is the same on every entry at that offset.
struct FleetState {
    Offset m_nextOffset = 0; ///< Next offset to fold.
    std::uint64_t m_chainHash = 0; ///< Hash over all operations folded so far and their results.
    WallMillis m_clock = 0; ///< Latest time stamp of the folded records.
    /// Folding has stopped because the record at m_nextOffset has a newer format or an operation of unknown kind.
    bool m_halted = false;
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
