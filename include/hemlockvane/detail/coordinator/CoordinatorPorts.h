#pragma once

#include "hemlockvane/detail/coordinator/RecordDecoders.h"
#include "hemlockvane/detail/ports/StoreLimits.h"
#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hemlockvane::detail {

class AdvicePort;
class ExecutorPort;
class MachinePort;
class Metrics;
class RecordStore;

/// @brief Dependencies of a coordinator; all of them outlive it.
struct CoordinatorPorts {
    RecordStore* m_store = nullptr;
    StoreLimits m_storeLimits;
    ExecutorPort* m_executors = nullptr;
    AdvicePort* m_advice = nullptr;
    MachinePort* m_machines = nullptr;
    Metrics* m_metrics = nullptr;
    RecordDecoders m_decoders;
    std::string m_executorTopic; ///< Keyed topic with the registry of executors.
    std::string m_statusTopic; ///< Keyed topic in which the progress of waves is reported to the operators.
    std::function<std::string(std::uint64_t number, bool isCompleted)>
        m_waveStatus; ///< Encodes a record for that topic.
    fleet::FleetTiming m_fleetTiming;
    double m_machineOrdersPerSecond = 0; ///< Rate beyond which the machines' service refuses orders; 0: unknown.
    Duration m_orderSpacing { 3000 }; ///< Minimum time between the orders of two owners for one machine.
    std::function<std::uint64_t()> m_newestRenewal; ///< Offset in the owner's topic, see OwnerElection.
    std::function<Instant(std::uint64_t)>
        m_renewalWrittenBy; ///< Upper bound of the time at which the record at that offset was written.
    std::function<Instant()> m_renewedAt; ///< When the newest renewal of the ownership was sent.
    std::function<Instant()> m_rulesConfirmedAt; ///< Time before which all changes of the configuration are known.
    Instant m_earlierLeasesExpireBy; ///< Time by which all leases of earlier owners have expired.
    Duration m_longestLease { 6500 }; ///< No lease ends later than this after the newest renewal of the ownership.
    Duration m_longestHold { 10000 }; ///< Executors shorten longer leases to this.
    Duration m_longestStop { 1000 }; ///< From the request to stop a run to its end.
    bool m_sharesPools = false; ///< Whether pools that cannot hold all tasks are shared by the workspaces' weights.
    bool m_separatesInterference = true; ///< Whether placement keeps images apart that slow each other down.
    /// Of the jobs that are known at a time, in bytes; see `JobMemory`. An instance with less memory must be able to
    /// take the work over.
    std::size_t m_jobMemoryLimit = 96UL * 1024 * 1024;
    Duration m_statusRetention { 120000 }; ///< The final state of a job can be queried for at least this long.
};

} // namespace hemlockvane::detail
