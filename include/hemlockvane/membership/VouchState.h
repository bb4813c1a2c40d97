#pragma once

#include "hemlockvane/membership/InstanceListView.h"
#include "hemlockvane/membership/PeerReport.h"
#include "hemlockvane/membership/VouchLimits.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief Evidence that this entry's folded state is current.
///
/// A vouch is a time-limited proof that the folded state was current at some instant; until it expires, the entry may
/// act on that state. It works like a read lease: it is extended by reads that reach the log's end, or, while the log
/// cannot be reached, by the agreement of all live entries.
struct VouchState {
    VouchLimits m_limits;
    std::string m_self;
    Offset m_foldedEnd = 0; ///< Next offset that this entry folds.
    Offset m_knownEnd = 0; ///< Highest end of the log seen in any message.
    std::optional<Instant> m_vouchedFrom; ///< All records written before this instant are folded.
    std::optional<Instant> m_logReadFrom; ///< When this entry sent its last read that reached the log's end.
    InstanceListView m_list;
    std::set<std::string, std::less<>> m_onceListed; ///< Instances that the current or an earlier list showed.
    std::map<std::string, PeerReport, std::less<>> m_reports; ///< Latest report of each peer.
};

} // namespace hemlockvane
