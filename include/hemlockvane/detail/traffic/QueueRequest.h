#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/traffic/Caller.h"
#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/time/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Longest time that a caller may give a request.
inline constexpr Duration longestRequestDeadline { 120000 };

/// @brief A caller's request on its way through this entry.
struct QueueRequest {
    HttpRequest m_message; ///< As the executor gets it.
    std::string m_queue;
    std::string m_idempotencyKey; ///< Empty: none given.
    Caller m_caller;
    Instant m_deadline;
    bool m_isUrgent = false;
    bool m_isRepeatable = false; ///< By its method and lack of a key: it may be sent again.
    bool m_needsClaim = false; ///< It has a key and may run at most once.
};

/// @brief Reads queue, path, deadline, priority and idempotency key of a request.
/// @param defaultDeadline of a request that names none
/// @param reason receives BadRequest
auto readQueueRequest(HttpRequest request, std::string_view queue, Duration defaultDeadline, Instant now,
    FailureReason& reason) -> std::optional<QueueRequest>;

/// @brief The queue in a target "/v1/requests/{queue}/...", empty when there is none.
auto queueOf(std::string_view target) -> std::string_view;

} // namespace hemlockvane::detail
