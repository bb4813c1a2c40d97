#pragma once

#include "hemlockvane/claims/ClaimKey.h"
#include "hemlockvane/claims/ClaimRecord.h"

#include "hemlockvane/peers.pb.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace hemlockvane {

/// @brief One claim slot as one entry sees it; the holder's part is unused elsewhere.
struct ClaimSlot {
    std::unordered_map<ClaimKey, ClaimRecord> m_records;
    Offset m_minimumEpoch = 0; ///< Messages of older epochs are refused; only grows.
    Offset m_coveredThrough = 0; ///< Highest ClaimCovered heard.
    WallMillis m_coveredHorizon = 0; ///< That came with it.

    Offset m_epoch = 0; ///< Held by this entry since; 0: held by another.
    bool m_active = false; ///< Every member has reported: keys may be granted.
    Instant m_retryAt; ///< Next repetition of report requests and copies.
    std::map<std::string, wire::ClaimReport, std::less<>> m_reports; ///< By member, until active.
    WallMillis m_horizon = 0; ///< Keys stamped until then and not known may have run.
    std::uint64_t m_nextSerial = 1;
    std::set<ClaimKey> m_granting; ///< Keys in status Granting.
    std::set<ClaimKey> m_underReplicated; ///< Keys that a removal left in one zone.
    std::set<std::pair<Instant, ClaimKey>> m_deadlines; ///< Next deadline of an in-flight key or a waiter.
    Offset m_announced = 0; ///< Last coveredThrough sent.
    Instant m_announceAt;
};

} // namespace hemlockvane
