#pragma once

#include "hemlockvane/limits/TeamDemand.h"
#include "hemlockvane/limits/TeamShare.h"
#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief A member's permits of one resource. Totals count from the start of the epoch.
struct MemberPermits {
    std::string m_duty;
    std::uint32_t m_base = 0; ///< Permits in hand when the epoch began.
    std::uint32_t m_grantedSeen = 0;
    std::uint32_t m_returned = 0;
    std::uint32_t m_used = 0;
    std::uint32_t m_demand = 0; ///< Permits in use plus permits that requests wait for.
    std::vector<TeamDemand> m_teams;
    std::vector<TeamShare> m_shares; ///< This member's shares by team from the latest grant.
    std::uint32_t m_target = 0; ///< Permits that this member may keep, as set by the holder.
    /// Above 0: permits beyond the target must be returned, because another member is below its target or the capacity
    /// is exceeded.
    std::uint32_t m_recall = 0;
    Offset m_foldedEnd = 0; ///< The holder may count the returns once it has folded up to this offset.
    std::uint64_t m_grantSequence = 0; ///< Of the latest grant received.
    std::uint64_t m_sequence = 0; ///< Of the last demand sent.
    std::uint64_t m_acknowledged = 0; ///< Sequence of the latest demand that a grant acknowledged.
    bool m_changed = false; ///< Something that a demand reports has changed since the last one.
    std::uint32_t m_returnedSent = 0; ///< `m_returned` as sent with the last demand.
    bool m_shortageSent = false; ///< The last demand exceeded the permits in hand.
    Instant m_sentAt;
    std::optional<Instant> m_surplusSince; ///< Since when more permits are in hand than target, demand and use need.
};

/// @brief Permits in hand: granted and not returned, whether in use or not.
inline auto permitsHeld(const MemberPermits& permits) -> std::uint32_t
{
    return permits.m_base + permits.m_grantedSeen - permits.m_returned;
}

} // namespace hemlockvane
