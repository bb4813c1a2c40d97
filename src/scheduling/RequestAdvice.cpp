#include "hemlockvane/scheduling/RequestAdvice.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlockvane::scheduling {

namespace {

constexpr std::size_t maximumCandidates = 100; // Limit of the service for one request.

auto isBefore(const AdviceVerdict& left, const AdviceVerdict& right) -> bool
{
    return left.m_executor < right.m_executor;
}

// The verdict on the executor's present life; null if there is none.
auto findVerdict(const StepAdvice& advice, const Executor& executor, ExecutorIndex index) -> const AdviceVerdict*
{
    const auto found = std::lower_bound(
        advice.m_verdicts.begin(), advice.m_verdicts.end(), AdviceVerdict { index, 0, {}, {} }, isBefore);
    const auto isKnown = found != advice.m_verdicts.end() && found->m_executor == index
        && found->m_startedAtMs == executor.m_entry.m_startedAtMs;
    return isKnown ? &*found : nullptr;
}

// Adds verdicts; those of an executor that had one before replace it.
auto mergeVerdicts(StepAdvice& advice, std::vector<AdviceVerdict> added) -> void
{
    std::vector<AdviceVerdict> all;
    all.reserve(advice.m_verdicts.size() + added.size());
    std::set_union(std::make_move_iterator(added.begin()), std::make_move_iterator(added.end()),
        std::make_move_iterator(advice.m_verdicts.begin()), std::make_move_iterator(advice.m_verdicts.end()),
        std::back_inserter(all), isBefore);
    advice.m_verdicts = std::move(all);
}

} // namespace

auto ticketFor(const StepAdvice& advice, const Executor& executor, ExecutorIndex index) -> std::string_view
{
    const auto* verdict = findVerdict(advice, executor, index);
    return verdict == nullptr ? std::string_view() : std::string_view(verdict->m_ticket);
}

auto hasTickets(const StepAdvice& advice) -> bool
{
    return std::any_of(advice.m_verdicts.begin(), advice.m_verdicts.end(),
        [](const AdviceVerdict& verdict) { return !verdict.m_ticket.empty(); });
}

auto expireTickets(StepAdvice& advice, Instant now) -> bool
{
    const auto expired = std::erase_if(advice.m_verdicts,
        [&](const AdviceVerdict& verdict) { return !verdict.m_ticket.empty() && verdict.m_expiresAt <= now; });
    return expired > 0;
}

auto dropTicket(StepAdvice& advice, ExecutorIndex index, Instant nextRequestAt) -> void
{
    std::erase_if(advice.m_verdicts, [&](const AdviceVerdict& verdict) { return verdict.m_executor == index; });
    advice.m_nextRequestAt = std::max(advice.m_nextRequestAt, nextRequestAt);
}

auto executorsToAsk(const Scheduler& scheduler, const StepAdvice& advice, std::span<const ExecutorIndex> preferred,
    std::span<const ExecutorIndex> others) -> std::vector<ExecutorIndex>
{
    std::vector<ExecutorIndex> chosen;
    for (const auto& group : { preferred, others }) {
        for (const auto index : group) {
            if (chosen.size() < maximumCandidates
                && findVerdict(advice, *scheduler.m_executors[index], index) == nullptr)
                chosen.push_back(index);
        }
    }
    return chosen;
}

auto noteAdviceRequested(const Scheduler& scheduler, StepAdvice& advice, std::span<const ExecutorIndex> executors)
    -> void
{
    for (const auto index : executors)
        advice.m_asked.push_back({ index, scheduler.m_executors[index]->m_entry.m_startedAtMs, {}, {} });
    std::sort(advice.m_asked.begin(), advice.m_asked.end(), isBefore);
}

auto applyAdvice(Scheduler& scheduler, const TaskKey& step, const std::map<std::string, std::string>& tickets,
    Duration validFor, Instant askedAt) -> void
{
    auto* state = findStep(scheduler, step);
    if (state == nullptr)
        return;
    state->m_advice.m_nextRequestAt = askedAt + scheduler.m_timing.m_adviceRetry;
    auto verdicts = std::exchange(state->m_advice.m_asked, {});
    for (auto& verdict : verdicts) {
        const auto ticket = tickets.find(scheduler.m_executors[verdict.m_executor]->m_entry.m_id);
        if (ticket == tickets.end())
            continue;
        verdict.m_ticket = ticket->second;
        verdict.m_expiresAt = askedAt + validFor;
    }
    mergeVerdicts(state->m_advice, std::move(verdicts));
    markChanged(scheduler, *findJob(scheduler, step.m_job));
}

auto applyMissingAdvice(Scheduler& scheduler, const TaskKey& step, Instant now) -> void
{
    auto* state = findStep(scheduler, step);
    if (state == nullptr)
        return;
    state->m_advice.m_asked.clear();
    state->m_advice.m_nextRequestAt = now + scheduler.m_timing.m_adviceRetry;
}

} // namespace hemlockvane::scheduling
