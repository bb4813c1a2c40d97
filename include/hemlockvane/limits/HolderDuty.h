#pragma once

#include "hemlockvane/limits/HolderResource.h"
#include "hemlockvane/log/FoldContext.h"

#include <map>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief An escrow duty that this instance holds.
struct HolderDuty {
    Offset m_epoch = 0;
    bool m_active = false; ///< Every member that joined before the epoch has reported or was removed.
    std::set<std::string, std::less<>> m_reported;
    Instant m_unreportedUntil; ///< Until then removed members that did not report may still use permits.
    Instant m_requestedAt;
    std::map<std::string, HolderResource, std::less<>> m_resources;
};

} // namespace hemlockvane
