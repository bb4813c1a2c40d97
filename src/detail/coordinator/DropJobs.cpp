#include "hemlockvane/detail/coordinator/DropJobs.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <cstddef>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration dropInterval { 5000 };
constexpr Duration retentionMargin { 30000 }; // Added to the retention: clocks differ, and submissions may arrive late.
constexpr std::size_t maximumDropped = 500; // Per append.
constexpr Duration nextDropPause { 100 }; // While there are more than one append may remove.
constexpr Duration appendTimeout { 1000 };

auto retainedSince(const CoordinatorState& state, WallMillis wall) -> WallMillis
{
    return wall - (state.m_ports.m_statusRetention + retentionMargin).count();
}

} // namespace

auto droppableCancellations(const CoordinatorState& state, WallMillis wall) -> std::vector<scheduling::JobId>
{
    std::vector<scheduling::JobId> old;
    const auto before = retainedSince(state, wall);
    for (const auto& [id, readAt] : state.m_scheduler.m_earlyCancellations) {
        if (readAt < before && old.size() < maximumDropped)
            old.push_back(id);
    }
    return old;
}

auto droppableJobs(const CoordinatorState& state, WallMillis wall) -> std::vector<scheduling::JobId>
{
    std::vector<scheduling::JobId> old;
    const auto before = retainedSince(state, wall);
    for (const auto& [id, job] : state.m_scheduler.m_jobs) {
        const auto isOver = scheduling::isFinal(job->m_durablePhase) && !state.m_scheduler.m_active.contains(id);
        if (isOver && job->m_endedAt != 0 && job->m_endedAt < before && old.size() < maximumDropped)
            old.push_back(id);
    }
    return old;
}

auto dropOldJobs(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<void>
{
    auto pause = dropInterval;
    while (!state->m_isStopped) {
        co_await sleepFor(pause);
        pause = dropInterval;
        const auto old = droppableJobs(*state, wallNow());
        const auto cancellations = droppableCancellations(*state, wallNow());
        if ((old.empty() && cancellations.empty()) || state->m_isStopped)
            continue;
        StoreAppend request;
        request.m_topic = submissionTopic;
        for (const auto id : old) {
            request.m_records.push_back(encodeKeyedRecord(submissionPrefix + jobIdText(id), {}));
            request.m_records.push_back(encodeKeyedRecord(cancellationPrefix + jobIdText(id), {}));
        }
        for (const auto id : cancellations)
            request.m_records.push_back(encodeKeyedRecord(cancellationPrefix + jobIdText(id), {}));
        const auto result = co_await state->m_ports.m_store->append(std::move(request), appendTimeout);
        if (result.m_kind != StoreAppendKind::Stored || state->m_isStopped)
            continue;
        if (old.size() == maximumDropped || cancellations.size() == maximumDropped)
            pause = nextDropPause;
        std::size_t dropped = 0;
        for (const auto id : old) {
            // An executor may have reported a run of it during the append; the job is dropped once the run has ended.
            if (!scheduling::dropJob(state->m_scheduler, id))
                continue;
            removeProgress(*state, id);
            ++dropped;
        }
        for (const auto id : cancellations)
            state->m_scheduler.m_earlyCancellations.erase(id);
        logOf("jobs").info("event=dropped jobs={} cancellations={} left={}", dropped, cancellations.size(),
            state->m_scheduler.m_jobs.size());
    }
}

} // namespace hemlockvane::detail
