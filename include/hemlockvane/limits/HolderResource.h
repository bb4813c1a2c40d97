#pragma once

#include "hemlockvane/limits/HolderLedger.h"
#include "hemlockvane/limits/RemovedCharge.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief One resource at its holder.
struct HolderResource {
    std::map<std::string, HolderLedger, std::less<>> m_members;
    std::vector<RemovedCharge> m_removed;
    std::uint32_t m_peak = 0; ///< Largest capacity lately in force that a member reported.
    std::uint32_t m_unreported = 0; ///< Charged for removed members that never reported.
    bool m_hasExternalTargets = false; ///< Targets come from `setTargets` instead of the wanted permits.
    bool m_contended = false; ///< More is wanted than there is.
    bool m_dirty = true;
    Instant m_balancedAt;
};

} // namespace hemlockvane
