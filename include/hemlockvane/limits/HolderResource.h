#pragma once

#include "hemlockvane/limits/HolderLedger.h"
#include "hemlockvane/limits/RemovedCharge.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief The holder's state of one resource.
struct HolderResource {
    std::map<std::string, HolderLedger, std::less<>> m_members;
    std::vector<RemovedCharge> m_removed;
    std::uint32_t m_peak = 0; ///< Largest recent capacity that a member reported.
    std::uint32_t m_unreported = 0; ///< Permits charged for removed members that did not report.
    bool m_hasExternalTargets = false; ///< Targets come from `setTargets` and are not computed from demands.
    bool m_contended = false; ///< The demands exceed the capacity.
    bool m_dirty = true;
    Instant m_balancedAt;
};

} // namespace hemlockvane
