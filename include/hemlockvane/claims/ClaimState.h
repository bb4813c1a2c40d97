#pragma once

#include "hemlockvane/claims/ClaimSettings.h"
#include "hemlockvane/claims/ClaimSlot.h"
#include "hemlockvane/claims/ClaimTicket.h"
#include "hemlockvane/claims/UnconfirmedOutcome.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief State of the claims slice of one entry.
struct ClaimState {
    std::string m_self; ///< Instance id of this entry.
    ClaimSettings m_settings;
    std::vector<ClaimSlot> m_slots; ///< As many as m_settings.m_slots.
    std::map<std::uint64_t, ClaimTicket> m_tickets;
    std::map<std::uint64_t, ClaimTicket> m_running; ///< Dispatched requests without an outcome.
    std::map<std::uint64_t, UnconfirmedOutcome> m_unconfirmedOutcomes; ///< By ticket.
    std::map<std::string, Instant, std::less<>> m_removed; ///< Removed entries, which may act until this time.
    Offset m_processedEnd = 0; ///< Removals recorded before this offset were handled.
    WallMillis m_wall = 0; ///< Latest wall clock time seen; never decreases.
    std::size_t m_nextExpiry = 0; ///< Slot in which the next tick erases expired records.
    std::size_t m_recordCount = 0;
    std::size_t m_answerBytes = 0;
};

/// @brief Makes the initial state of an entry.
/// @param self its instance id
/// @param settings must have the same number of slots on every entry
auto makeClaimState(std::string self, const ClaimSettings& settings) -> ClaimState;

} // namespace hemlockvane
