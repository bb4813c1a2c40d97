#pragma once

#include "hemlockvane/membership/InstanceListView.h"
#include "hemlockvane/membership/PeerReport.h"
#include "hemlockvane/membership/VouchLimits.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief What this entry knows about how current its folded state is.
struct VouchState {
    VouchLimits m_limits;
    std::string m_self;
    Offset m_foldedEnd = 0; ///< Next offset that this entry folds.
    Offset m_knownEnd = 0; ///< Latest end of the log heard of in any way.
    std::optional<Instant> m_vouchedFrom; ///< Everything recorded before this instant is folded.
    std::optional<Instant> m_logReadFrom; ///< When the last own read that reached the log's end was sent.
    InstanceListView m_list;
    std::set<std::string, std::less<>> m_onceListed;
    std::map<std::string, PeerReport, std::less<>> m_reports; ///< Latest by peer.
};

} // namespace hemlockvane
