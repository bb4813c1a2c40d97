#pragma once

#include "hemlockvane/configuration/ConfigurationState.h"
#include "hemlockvane/detail/platform/ListedInstance.h"
#include "hemlockvane/keys/KeyState.h"
#include "hemlockvane/keys/PendingWithdrawals.h"
#include "hemlockvane/membership/MembershipState.h"
#include "hemlockvane/time/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief Copy of the control thread's state that the traffic thread reads. Immutable; the control thread replaces it
/// as a whole.
struct TrafficView {
    std::shared_ptr<const KeyState> m_keys;
    std::shared_ptr<const ConfigurationState> m_configuration;
    std::shared_ptr<const MembershipState> m_membership;
    std::shared_ptr<const std::vector<ListedInstance>> m_listed; ///< The platform's instance list.
    std::shared_ptr<const PendingWithdrawals>
        m_pendingWithdrawals; ///< Key withdrawals in force that some entry has not folded yet.
    Instant m_vouchedUntil; ///< After this time nothing may be done that a newer record could forbid.
    bool m_isDraining = false;
};

} // namespace hemlockvane::detail
