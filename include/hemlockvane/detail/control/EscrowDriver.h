#pragma once

#include "hemlockvane/detail/control/CapacityTracker.h"
#include "hemlockvane/limits/EscrowHolder.h"
#include "hemlockvane/limits/EscrowTiming.h"
#include "hemlockvane/shares/SlotBalancer.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

struct ControlCore;
struct ServeSettings;

/// @brief Runs the escrow holder, which grants permits to the members, on the control thread.
struct EscrowDriver {
    explicit EscrowDriver(ControlCore& core);

    ControlCore& m_core;
    EscrowHolder m_holder;
    CapacityTracker m_capacities;
    std::map<std::string, SlotBalancer, std::less<>> m_balancers; ///< By service.
    std::map<std::string, std::uint32_t, std::less<>> m_reportedJobs; ///< Running jobs by team, as last reported.
    Offset m_lastMembershipVersion = 0; ///< Version of the membership that the holder was last updated to.
    bool m_isBusy = false; ///< Demands or reports arrived since the last step.
    Instant m_recountAt; ///< When running jobs are counted next.
    /// Passes a message to the escrow member of this entry, which runs on the traffic thread.
    std::function<void(const wire::Envelope&)> m_sendToMember;
};

/// @brief Derives the time bounds of the escrow from the settings; they must be equal on all entries.
auto escrowTiming(const ServeSettings& settings) -> EscrowTiming;

/// @brief Sends an escrow message to an entry, which may be this one. May be called on any thread.
auto sendEscrow(ControlCore& core, std::string to, wire::Envelope envelope) -> void;

/// @brief Registers the driver for folds and peers' messages and runs its periodic steps; ends when the process stops.
auto runEscrow(EscrowDriver& driver) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
