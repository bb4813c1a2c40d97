#pragma once

#include "hemlockvane/claims/ClaimKey.h"
#include "hemlockvane/claims/ClaimResult.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane {

/// @brief An outcome that the holder has not confirmed yet. Its answer is stored in the key's record.
struct UnconfirmedOutcome {
    ClaimKey m_key;
    ClaimResult m_result = ClaimResult::NotRun;
    std::size_t m_slot = 0;
    Instant m_retryAt;
    Instant m_forgetAt; ///< When the key's window has passed.
};

} // namespace hemlockvane
