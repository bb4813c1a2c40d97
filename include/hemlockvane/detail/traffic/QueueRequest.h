#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/traffic/Caller.h"
#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/time/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Longest deadline that a caller may set for a request.
inline constexpr Duration longestRequestDeadline { 120000 };

/// @brief A caller's request to a queue, as this entry handles it.
struct QueueRequest {
    HttpRequest m_message; ///< The request as it is sent to the executor.
    std::string m_queue;
    std::string m_idempotencyKey; ///< Empty: the request has none.
    Caller m_caller;
    Instant m_deadline;
    bool m_isUrgent = false;
    bool m_isRepeatable = false; ///< It may be sent again: its method is idempotent and it needs no claim.
    bool m_needsClaim = false; ///< It has an idempotency key and its method is not safe, so it may run at most once.
};

/// @brief Reads path, deadline, priority and idempotency key of a request to a queue.
/// @param defaultDeadline time allowed for a request without X-Request-Timeout-Ms
/// @param reason receives BadRequest
/// @result empty when a header is malformed
auto readQueueRequest(HttpRequest request, std::string_view queue, Duration defaultDeadline, Instant now,
    FailureReason& reason) -> std::optional<QueueRequest>;

/// @brief The queue in a request target "/v1/requests/{queue}/..."; empty for other targets.
auto queueOf(std::string_view target) -> std::string_view;

} // namespace hemlockvane::detail
