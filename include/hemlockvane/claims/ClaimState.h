#pragma once

#include "hemlockvane/claims/ClaimSettings.h"
#include "hemlockvane/claims/ClaimSlot.h"
#include "hemlockvane/claims/ClaimTicket.h"
#include "hemlockvane/claims/UnconfirmedOutcome.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief The claims slice of one entry.
struct ClaimState {
    std::string m_self; ///< Instance id of this entry.
    ClaimSettings m_settings;
    std::vector<ClaimSlot> m_slots; ///< As many as m_settings.m_slots.
    std::map<std::uint64_t, ClaimTicket> m_tickets;
    std::map<std::uint64_t, ClaimTicket> m_running; ///< Dispatched, outcome not known yet.
    std::map<std::uint64_t, UnconfirmedOutcome> m_unconfirmedOutcomes; ///< By ticket.
    std::map<std::string, Instant, std::less<>> m_removed; ///< Removed entries that may still act until then.
    Offset m_processedEnd = 0; ///< Removals below this offset were processed.
    WallMillis m_wall = 0; ///< Latest wall clock seen: it never goes back.
    std::size_t m_nextExpiry = 0; ///< Slot that the next tick looks through for expired records.
    std::size_t m_recordCount = 0;
    std::size_t m_answerBytes = 0;
};

/// @brief Empty state of an entry.
/// @param self its instance id
/// @param settings the same number of slots on every entry
auto makeClaimState(std::string self, const ClaimSettings& settings) -> ClaimState;

} // namespace hemlockvane
