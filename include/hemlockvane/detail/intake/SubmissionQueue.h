#pragma once

#include "hemlockvane/detail/intake/PendingSubmission.h"
#include "hemlockvane/detail/ports/StoreAppendKind.h"
#include "hemlockvane/detail/ports/StoreLimits.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <span>
#include <vector>

namespace hemlockvane::detail {

using SharedSubmission = std::shared_ptr<PendingSubmission>;

/// @brief Submissions and cancellations on their way to the store, for instances that receive them faster than the
/// store answers: what arrives while appends are in flight goes into the next one, so that a slow store gets a bounded
/// number of appends from each instance, however many callers wait.
struct SubmissionQueue {
    std::deque<SharedSubmission> m_waiting; ///< Not in flight, oldest first.
    std::size_t m_appendsInFlight = 0;
    std::size_t m_appendWindow = 3; ///< Appends that may be in flight.
    StoreLimits m_limits;
};

/// @brief Takes the submissions of the next append.
/// @result empty if none is waiting or enough appends are in flight
[[nodiscard]] auto takeBatch(SubmissionQueue& queue) -> std::vector<SharedSubmission>;

/// @brief Applies the store's answer to an append of a batch. What may be stored by an unanswered append goes on
/// waiting, since only a stored one settles it.
auto applyAppendResult(SubmissionQueue& queue, std::span<const SharedSubmission> batch, StoreAppendKind kind) -> void;

/// @brief Adapts the number of appends in flight to a partition that carries out the appends of all instances in turn.
///
/// Answers the load after an outage, when every instance has submissions waiting: with several appends of each, the
/// last in turn take longer than an append is waited for. They are carried out and repeated all the same, so the
/// partition would be busy with repeats from then on. An append without an answer, or refused by a partition with too
/// many waiting, leaves one in flight; each quick answer allows one more.
/// @param took time until the append was answered or given up
/// @param timeout time after which an append is given up
auto adaptAppendWindow(SubmissionQueue& queue, StoreAppendKind kind, Duration took, Duration timeout) -> void;

/// @brief Gives up a submission whose caller waits no longer, and returns what is known of it.
[[nodiscard]] auto abandonSubmission(SubmissionQueue& queue, const SharedSubmission& submission) -> IntakeOutcome;

} // namespace hemlockvane::detail
