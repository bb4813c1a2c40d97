#pragma once

#include "hemlockvane/log/FoldContext.h"

namespace hemlockvane {

struct MembershipState;

/// @brief What the rest of the entry knows at an event.
struct ClaimView {
    const MembershipState& m_membership; ///< As folded.
    Offset m_foldedEnd = 0; ///< Next offset to fold.
    bool m_vouched = false; ///< The entry may act on what it knows, checked now.
};

} // namespace hemlockvane
