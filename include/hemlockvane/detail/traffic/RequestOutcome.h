#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/time/Time.h"

#include <optional>

namespace hemlockvane::detail {

/// @brief What became of a request after all its attempts.
struct RequestOutcome {
    std::optional<HttpResponse> m_response; ///< The executor's whole answer.
    FailureReason m_reason; ///< Without an answer: why.
    bool m_mayHaveRun = false; ///< Bytes of some attempt may have left.
    Duration m_retryAfter { 0 }; ///< When the caller may come back; 0: not said.
};

} // namespace hemlockvane::detail
