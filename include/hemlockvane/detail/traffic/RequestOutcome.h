#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/time/Time.h"

#include <optional>

namespace hemlockvane::detail {

/// @brief Result of a request after all of its attempts.
struct RequestOutcome {
    std::optional<HttpResponse> m_response; ///< The executor's complete response.
    FailureReason m_reason; ///< Reason for the lack of a response.
    bool m_mayHaveRun = false; ///< Bytes of at least one attempt may have been sent.
    Duration m_retryAfter { 0 }; ///< Time after which the caller may retry; 0: not specified.
};

} // namespace hemlockvane::detail
