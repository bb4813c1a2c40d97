#pragma once

#include "hemlockvane/detail/coordinator/RecordDecoders.h"
#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace hemlockvane::detail {

class AdvicePort;
class ExecutorPort;
class MachinePort;
class Metrics;
class RecordStore;

/// @brief What the owner of the fleet's work needs from its surroundings; all of it outlives the owner.
struct CoordinatorPorts {
    RecordStore* m_store = nullptr;
    ExecutorPort* m_executors = nullptr;
    AdvicePort* m_advice = nullptr;
    MachinePort* m_machines = nullptr;
    Metrics* m_metrics = nullptr;
    RecordDecoders m_decoders;
    std::string m_executorTopic; ///< Keyed topic that holds the list of executors.
    std::string m_statusTopic; ///< Keyed topic that tells the operators how far waves are.
    std::function<std::string(std::uint64_t number, bool isCompleted)> m_waveStatus; ///< Record for that topic.
    fleet::FleetTiming m_fleetTiming;
    Duration m_orderSpacing { 3000 }; ///< Between the orders of two owners for one machine.
    std::function<std::uint64_t()> m_newestRenewal; ///< Position in the owner's topic, see OwnerElection.
    std::function<Instant(std::uint64_t)> m_renewalWrittenBy; ///< When that position had been reached.
    std::function<Instant()> m_renewedAt; ///< When the newest renewal of the ownership was sent.
    Instant m_earlierLeasesExpireBy; ///< When the leases of earlier owners must have lapsed.
    Duration m_longestLease { 6500 }; ///< No lease goes beyond this after the newest renewal.
    Duration m_statusRetention { 120000 }; ///< A job's final state is told for at least this long.
};

} // namespace hemlockvane::detail
