#pragma once

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/coordinator/CoordinatorPorts.h"
#include "hemlockvane/detail/coordinator/FleetControlState.h"
#include "hemlockvane/detail/coordinator/OwnerLoad.h"
#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TaskKey.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace hemlockvane::detail {

/// @brief State shared by the coroutines of one coordinator; all of them run on one thread.
struct CoordinatorState {
    CoordinatorState(boost::asio::io_context& context, const CoordinatorPorts& ports, std::uint64_t epoch)
        : m_context(context)
        , m_ports(ports)
        , m_epoch(epoch)
        , m_planSignal(context)
        , m_journalSignal(context)
    {
    }

    boost::asio::io_context& m_context;
    CoordinatorPorts m_ports;
    std::uint64_t m_epoch;
    scheduling::Scheduler m_scheduler;
    bool m_isStopped = false;
    bool m_isLoaded = false;
    Signal m_planSignal;
    Instant m_nextSweepAt; ///< Time of the next pass over all runs and executors.
    Signal m_journalSignal;
    std::int64_t m_newestRulesVersion = 0; ///< Newest version of the configuration that the journal names; 0: unknown.
    Instant m_earlierLeasesExpireBy; ///< Time by which all leases of earlier owners have expired.
    std::uint64_t m_nextSubmissionOffset = 0; ///< Next offset to read of the topic of submissions.
    std::uint64_t m_submissionEnd = 0; ///< End offset of that topic at the newest read.
    std::uint64_t m_nextExecutorOffset = 0; ///< Next offset to read of the registry of executors.
    std::map<std::string, std::unique_ptr<Signal>> m_pollSignals; ///< Wakes the polling of an executor; by executor id.
    std::map<std::string, std::string>
        m_pendingRecords; ///< Records of executors, machine orders and waves for the next journal batch, by key.
    /// By job and number: hash of each part of its progress in the journal but the first; 0: to be written again.
    std::map<scheduling::JobId, std::map<std::uint32_t, std::size_t>> m_storedParts;
    std::set<std::string> m_storedExecutors; ///< Executors with a record in the journal.
    std::vector<scheduling::Action> m_pendingStarts; ///< Starts to be sent once their runs are stored.
    std::vector<fleet::FleetAction> m_pendingMachineOrders; ///< Orders for machines, to be sent once they are stored.
    FleetControlState m_fleet;
    OwnerLoad m_load;
    std::unordered_set<scheduling::TaskKey> m_waitingSteps; ///< Steps with long-running tasks that waited a second ago.
    std::set<std::string> m_reportedZones; ///< Evacuated zones at the last report.
    Duration m_loopDelay { 0 }; ///< How late timers are resumed at present.
};

} // namespace hemlockvane::detail
