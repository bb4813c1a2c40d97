#pragma once

#include "hemlockvane/detail/intake/IntakeOutcome.h"
#include "hemlockvane/detail/intake/RecentSubmission.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace hemlockvane::detail {

/// @brief For how long a submission is remembered after its last request or outcome. Callers repeat a request
/// without an answer within seconds.
inline constexpr Duration submissionMemoryTime { 30000 };

/// @brief Maximum number of remembered submissions, about 2 MB.
inline constexpr std::size_t maximumRecentSubmissions = 16384;

/// @brief Submissions that this instance has stored or may have stored, so that it doesn't tell a caller who repeats
/// one of them that its job was not accepted.
struct RecentSubmissions {
    std::list<RecentSubmission> m_byUse; ///< The one used longest ago first.
    std::unordered_map<scheduling::JobId, std::list<RecentSubmission>::iterator> m_byId;
};

/// @brief Joint outcome of the remembered requests for a job.
/// @result `Refused` if none of them may have stored it; `Unknown` also while one is open
[[nodiscard]] auto earlierOutcome(RecentSubmissions& recent, scheduling::JobId id, Instant now) -> IntakeOutcome;

/// @brief Records that a request begins to store a job.
auto beginSubmission(RecentSubmissions& recent, scheduling::JobId id, Instant now) -> void;

/// @brief Records the outcome of a request that was begun.
/// @result the joint outcome of this request and the other remembered ones; `Unknown` when the job was dropped
/// meanwhile and this request did not store it
[[nodiscard]] auto endSubmission(RecentSubmissions& recent, scheduling::JobId id, IntakeOutcome outcome, Instant now)
    -> IntakeOutcome;

} // namespace hemlockvane::detail
