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

/// @brief Runs the holder's side of the escrow on the control thread.
struct EscrowDriver {
    explicit EscrowDriver(ControlCore& core);

    ControlCore& m_core;
    EscrowHolder m_holder;
    CapacityTracker m_capacities;
    std::map<std::string, SlotBalancer, std::less<>> m_balancers; ///< By service.
    std::map<std::string, std::uint32_t, std::less<>> m_reportedJobs; ///< Running jobs by team, as last told.
    Offset m_lastMembershipVersion = 0;
    bool m_isBusy = false; ///< Messages came since the last step.
    Instant m_recountAt; ///< When running jobs are counted again.
    /// Takes a message for the member's side, on the traffic thread.
    std::function<void(const wire::Envelope&)> m_sendToMember;
};

/// @brief Times of the escrow that follow from the settings; the same on every entry.
auto escrowTiming(const ServeSettings& settings) -> EscrowTiming;

/// @brief Sends an escrow message from any thread to an entry, possibly this one.
auto sendEscrow(ControlCore& core, std::string to, wire::Envelope envelope) -> void;

/// @brief Connects the driver to folds and messages and runs its clock; ends when the process stops.
auto runEscrow(EscrowDriver& driver) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
