#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief Final answer to a caller whose request this entry does not dispatch.
struct ClaimReply {
    std::uint64_t m_ticket = 0;
    ErrorKind m_error = ErrorKind::None; ///< None if m_answer is the recorded answer.
    std::string m_reason;
    std::string m_answer;
    bool m_notRun = false; ///< The key certainly never ran; overrides the error table for keyed requests.
    Duration m_retryAfter {}; ///< 0: not stated in the answer.
};

} // namespace hemlockvane
