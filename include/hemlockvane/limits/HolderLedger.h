#pragma once

#include "hemlockvane/limits/TeamDemand.h"
#include "hemlockvane/limits/TeamShare.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <vector>

namespace hemlockvane {

/// @brief What the holder knows of one resource at one member. Totals count from the start of the epoch.
struct HolderLedger {
    std::uint32_t m_base = 0; ///< Reported as in hand when the epoch began.
    std::uint32_t m_granted = 0;
    std::uint32_t m_grantedSeen = 0;
    std::uint32_t m_returned = 0;
    std::uint32_t m_demand = 0;
    std::vector<TeamDemand> m_teams;
    std::vector<TeamShare> m_shares; ///< Its part by team.
    std::uint32_t m_target = 0; ///< Permits it may keep.
    std::uint32_t m_recall = 0;
    double m_credit = 0; ///< Permits that it had too few, times seconds; decides who gets an odd permit.
    std::uint64_t m_demandSequence = 0;
    std::uint64_t m_grantSequence = 0;
    bool m_grantDue = false;
    Instant m_sentAt;
};

/// @brief Permits that the member may have in hand.
inline auto permitsCharged(const HolderLedger& ledger) -> std::uint32_t
{
    return ledger.m_base + ledger.m_granted - ledger.m_returned;
}

} // namespace hemlockvane
