#pragma once

#include "hemlockvane/log/FoldContext.h"

namespace hemlockvane {

struct MembershipState;

/// @brief The entry's state outside the claims slice at the time of an event.
struct ClaimView {
    const MembershipState& m_membership; ///< Folded from the log.
    Offset m_foldedEnd = 0; ///< Next offset to fold.
    bool m_vouched = false; ///< The entry may act on its folded state; see mayAct.
};

} // namespace hemlockvane
