#include "hemlockvane/detail/intake/SubmissionQueue.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace {

// More than one, since a connection may have gone silent while others work.
constexpr std::size_t maximumAppendsInFlight = 3;
constexpr int quickAnswerDivisor = 3; // An answer within this part of the timeout is quick.
constexpr std::size_t maximumBatchRecords = 500;
constexpr std::size_t maximumBatchBytes = 512UL * 1024; // A larger append would keep the partition busy for long.
constexpr std::size_t lengthBytes = 4; // The store counts the length prefix of each record.
// A larger record is appended alone, so that the store's refusal of it refuses nothing else.
constexpr std::size_t maximumSharedRecordBytes = 64UL * 1024;

auto settle(PendingSubmission& submission, IntakeOutcome outcome) -> void
{
    submission.m_outcome = outcome;
    if (submission.m_onOutcome)
        submission.m_onOutcome();
}

} // namespace

auto takeBatch(SubmissionQueue& queue) -> std::vector<SharedSubmission>
{
    std::vector<SharedSubmission> batch;
    if (queue.m_appendsInFlight >= queue.m_appendWindow)
        return batch;
    const auto maximumBytes = std::min(maximumBatchBytes, queue.m_limits.m_requestBytes);
    std::size_t bytes = 0;
    while (!queue.m_waiting.empty() && batch.size() < maximumBatchRecords) {
        const auto size = queue.m_waiting.front()->m_record.size() + lengthBytes;
        const auto mustBeAlone = size > maximumSharedRecordBytes;
        if (!batch.empty() && (mustBeAlone || bytes + size > maximumBytes))
            break;
        bytes += size;
        batch.push_back(std::move(queue.m_waiting.front()));
        batch.back()->m_isInFlight = true;
        queue.m_waiting.pop_front();
        if (mustBeAlone)
            break;
    }
    queue.m_appendsInFlight += batch.empty() ? 0 : 1;
    return batch;
}

auto applyAppendResult(SubmissionQueue& queue, std::span<const SharedSubmission> batch, StoreAppendKind kind) -> void
{
    --queue.m_appendsInFlight;
    for (const auto& submission : batch) {
        submission->m_isInFlight = false;
        submission->m_mayBeStored = submission->m_mayBeStored || kind == StoreAppendKind::Unknown;
        if (submission->m_outcome)
            continue;
        if (kind == StoreAppendKind::Stored)
            settle(*submission, IntakeOutcome::Stored);
        else if (submission->m_mayBeStored)
            queue.m_waiting.push_back(submission);
        else
            settle(*submission, IntakeOutcome::Refused);
    }
}

auto adaptAppendWindow(SubmissionQueue& queue, StoreAppendKind kind, Duration took, Duration timeout) -> void
{
    if (kind != StoreAppendKind::Stored)
        queue.m_appendWindow = 1;
    else if (took <= timeout / quickAnswerDivisor)
        queue.m_appendWindow = std::min(queue.m_appendWindow + 1, maximumAppendsInFlight);
}

auto abandonSubmission(SubmissionQueue& queue, const SharedSubmission& submission) -> IntakeOutcome
{
    std::erase(queue.m_waiting, submission);
    if (!submission->m_outcome)
        submission->m_outcome
            = submission->m_isInFlight || submission->m_mayBeStored ? IntakeOutcome::Unknown : IntakeOutcome::Refused;
    return *submission->m_outcome;
}

} // namespace hemlockvane::detail
