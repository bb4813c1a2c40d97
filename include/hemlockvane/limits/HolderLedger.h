#pragma once

#include "hemlockvane/limits/TeamDemand.h"
#include "hemlockvane/limits/TeamShare.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <vector>

namespace hemlockvane {

/// @brief The holder's account of one resource at one member. Totals count from the start of the epoch.
struct HolderLedger {
    std::uint32_t m_base = 0; ///< Permits that the member reported as in hand.
    std::uint32_t m_granted = 0;
    std::uint32_t m_grantedSeen = 0; ///< Part of `m_granted` that the member has confirmed.
    std::uint32_t m_returned = 0;
    std::uint32_t m_demand = 0;
    std::vector<TeamDemand> m_teams;
    std::vector<TeamShare> m_shares; ///< The member's shares by team.
    std::uint32_t m_target = 0; ///< Permits that the member may keep.
    std::uint32_t m_recall = 0; ///< Permits beyond the target that the member must return.
    double m_credit = 0; ///< Permit seconds below its share; decides which member gets a permit that cannot be split.
    std::uint64_t m_demandSequence = 0; ///< Of the latest demand whose returns were counted.
    std::uint64_t m_grantSequence = 0; ///< Of the last grant sent.
    bool m_grantDue = false; ///< A grant must be sent with the next messages.
    Instant m_sentAt;
};

/// @brief Upper bound of the permits that the member has in hand.
inline auto permitsCharged(const HolderLedger& ledger) -> std::uint32_t
{
    return ledger.m_base + ledger.m_granted - ledger.m_returned;
}

} // namespace hemlockvane
