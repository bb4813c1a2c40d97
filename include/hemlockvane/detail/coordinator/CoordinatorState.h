#pragma once

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/coordinator/CoordinatorPorts.h"
#include "hemlockvane/detail/coordinator/FleetControlState.h"
#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/Scheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief State that the parts of one ownership share; all of them run on one thread.
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
    Signal m_journalSignal;
    Instant m_earlierLeasesExpireBy; ///< When leases of earlier owners must have lapsed.
    std::uint64_t m_nextSubmissionOffset = 0; ///< Next offset of the topic of submissions.
    std::uint64_t m_nextExecutorOffset = 0; ///< Next offset of the list of executors.
    std::map<std::string, std::unique_ptr<Signal>> m_pollSignals; ///< By executor id.
    std::map<std::string, std::string>
        m_pendingRecords; ///< Rows about executors and waves that wait for the journal, by key.
    std::set<std::string> m_storedExecutors; ///< Executors with a row in the store.
    std::vector<scheduling::Action> m_pendingStarts; ///< Sent once their runs are stored.
    std::vector<fleet::FleetAction> m_pendingMachineOrders; ///< For machines; sent once they are stored.
    FleetControlState m_fleet;
};

} // namespace hemlockvane::detail
