#include "hemlockvane/detail/coordinator/Submissions.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/scheduling.pb.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <string>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration submissionWait { 1000 }; // Maximum wait of one read for a submission.
constexpr Duration retryPause { 100 }; // After a read without an answer.

auto applySubmission(CoordinatorState& state, scheduling::JobId id, const std::string& bytes) -> void
{
    wire::SubmissionRecord record;
    auto spec = record.ParseFromString(bytes) ? state.m_ports.m_decoders.m_job(record.body()) : std::nullopt;
    if (!spec) {
        logOf("jobs").error("event=unreadable_submission job={}", jobIdText(id));
        return;
    }
    spec->m_id = id;
    spec->m_queue = record.queue();
    spec->m_workspace = record.workspace();
    spec->m_submittedAt = record.submitted_at_ms();
    // At a takeover only the number of loaded jobs is logged.
    const auto isNew = scheduling::addJob(state.m_scheduler, std::move(*spec), monotonicNow(), wallNow());
    if (isNew && state.m_isLoaded)
        logOf("jobs").info(
            "event=job job={} queue={} age_ms={}", jobIdText(id), record.queue(), wallNow() - record.submitted_at_ms());
}

} // namespace

auto applySubmissionRecord(CoordinatorState& state, const KeyedRecord& record) -> void
{
    const auto id = record.m_key.empty() ? std::nullopt : parseJobId(std::string_view(record.m_key).substr(1));
    if (!id) {
        logOf("jobs").error("event=unreadable_key offset={}", record.m_offset);
        return;
    }
    if (record.m_value.empty())
        return;
    if (record.m_key.front() == submissionPrefix)
        applySubmission(state, *id, record.m_value);
    if (record.m_key.front() != cancellationPrefix)
        return;
    logOf("jobs").info("event=cancel job={} offset={}", jobIdText(*id), record.m_offset);
    scheduling::cancelJob(state.m_scheduler, *id, wallNow());
}

auto loadSubmissions(CoordinatorState& state, TopicContent content) -> void
{
    for (auto& record : content.first) {
        applySubmissionRecord(state, record);
        record.m_value = std::string(); // Otherwise all of them would be held beside the jobs made of them.
    }
    state.m_nextSubmissionOffset = content.second;
    state.m_submissionEnd = std::max(state.m_submissionEnd, content.second);
}

auto readSubmissions(CoordinatorState& state, Duration wait) -> asio::awaitable<bool>
{
    const auto from = state.m_nextSubmissionOffset;
    const auto read = co_await state.m_ports.m_store->read(submissionTopic, from, wait);
    if (!read || state.m_isStopped)
        co_return false;
    if (read->m_isExpired) {
        auto content = co_await state.m_ports.m_store->newest(submissionTopic);
        const auto isLoaded = content.has_value();
        if (isLoaded)
            loadSubmissions(state, std::move(*content));
        co_return isLoaded;
    }
    auto offset = from;
    for (const auto& bytes : read->m_records) {
        const auto record = decodeKeyedRecord(bytes, offset++);
        // Another coroutine may have read and applied the same records meanwhile.
        if (record && record->m_offset >= state.m_nextSubmissionOffset)
            applySubmissionRecord(state, *record);
    }
    state.m_nextSubmissionOffset = std::max(state.m_nextSubmissionOffset, offset);
    state.m_submissionEnd = std::max(state.m_submissionEnd, read->m_end);
    if (!read->m_records.empty())
        state.m_planSignal.notify();
    co_return true;
}

auto readSubmissionsToEnd(CoordinatorState& state) -> asio::awaitable<bool>
{
    while (!state.m_isStopped) {
        const auto isRead = co_await readSubmissions(state, Duration { 0 });
        if (isRead && state.m_nextSubmissionOffset >= state.m_submissionEnd)
            co_return true;
        if (!isRead)
            co_await sleepFor(retryPause);
    }
    co_return false;
}

auto followSubmissions(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<void>
{
    while (!state->m_isStopped) {
        const auto isRead = co_await readSubmissions(*state, submissionWait);
        if (!isRead)
            co_await sleepFor(retryPause);
    }
}

} // namespace hemlockvane::detail
