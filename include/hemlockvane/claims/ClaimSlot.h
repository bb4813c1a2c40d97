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

/// @brief One entry's state of one claim slot. The second group of members is used only by the slot's holder.
struct ClaimSlot {
    std::unordered_map<ClaimKey, ClaimRecord> m_records;
    Offset m_minimumEpoch = 0; ///< Messages of older epochs are refused; never decreases.
    Offset m_coveredThrough = 0; ///< Highest offset received in ClaimCovered.
    WallMillis m_coveredHorizon = 0; ///< Highest horizon received in ClaimCovered.

    Offset m_epoch = 0; ///< Epoch in which this entry is the holder; 0 if it is not.
    bool m_active = false; ///< The takeover is finished: keys may be granted.
    Instant m_retryAt; ///< Next resend of report requests or mirror requests.
    std::map<std::string, wire::ClaimReport, std::less<>> m_reports; ///< By member; empty once active.
    WallMillis m_horizon = 0; ///< A key stamped up to here may have run even if it has no record.
    std::uint64_t m_nextSerial = 1;
    std::set<ClaimKey> m_granting; ///< Keys in status Granting.
    std::set<ClaimKey> m_underReplicated; ///< Keys that are recorded in one zone only after a removal.
    std::set<std::pair<Instant, ClaimKey>> m_deadlines; ///< Next deadline of an in-flight key or a waiter.
    Offset m_announced = 0; ///< Last offset sent in ClaimCovered.
    Instant m_announceAt;
};

} // namespace hemlockvane
