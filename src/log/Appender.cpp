#include "hemlockvane/log/Appender.h"

#include "hemlockvane/log/Fold.h"

#include "hemlockvane/records.pb.h"

#include <algorithm>

namespace hemlockvane {

namespace {

constexpr double millisPerSecond = 1000;

auto refill(AppenderState& state, Instant now) -> void
{
    const auto elapsed = static_cast<double>((now - state.m_refilledAt).count());
    const auto gained = elapsed * state.m_limits.m_appendsPerSecond / millisPerSecond;
    state.m_tokens = std::min(state.m_limits.m_burstAppends, state.m_tokens + std::max(0.0, gained));
    state.m_refilledAt = std::max(state.m_refilledAt, now);
}

auto inRetryDelay(const AppenderState& state, Instant now) -> bool
{
    return state.m_failingSince && now < state.m_lastFailureAt + state.m_limits.m_retryDelay;
}

// During an outage a single append at a time probes the log; other unsent operations are rejected at once.
auto rejectsUnsent(const AppenderState& state, Instant now) -> bool
{
    return inOutage(state, now) && (state.m_inFlight || inRetryDelay(state, now));
}

auto noteFailure(AppenderState& state, Instant sentAt, Instant now) -> void
{
    if (!state.m_failingSince)
        state.m_failingSince = sentAt;
    state.m_lastFailureAt = now;
}

// Puts operations back at the front of the queue.
auto requeue(AppenderState& state, std::span<const std::string> ids) -> void
{
    for (auto id = ids.rbegin(); id != ids.rend(); ++id)
        if (state.m_operations.contains(*id))
            state.m_waiting.push_front(*id);
}

auto completeOperation(AppenderState& state, const OperationResult& result, std::vector<OperationResult>& outcomes)
    -> void
{
    const auto found = state.m_operations.find(result.m_id);
    if (found == state.m_operations.end())
        return;
    state.m_operations.erase(found);
    outcomes.push_back(result);
}

// Moves waiting operations into the group until it is full; skips those that have completed meanwhile.
auto fillGroup(AppenderState& state, wire::Group& group, std::vector<std::string>& ids) -> void
{
    std::size_t bytes = 0;
    while (!state.m_waiting.empty() && ids.size() < state.m_limits.m_groupOperations) {
        const auto found = state.m_operations.find(state.m_waiting.front());
        if (found == state.m_operations.end()) {
            state.m_waiting.pop_front();
            continue;
        }
        auto& pending = found->second;
        if (bytes + pending.m_bytes > state.m_limits.m_groupBytes)
            break;
        bytes += pending.m_bytes;
        *group.add_operations() = *pending.m_operation;
        pending.m_inFlight = true;
        ids.push_back(found->first);
        state.m_waiting.pop_front();
    }
}

// Removes the append in flight and marks its operations as sent when the record may be in the log.
auto finishInFlight(AppenderState& state, bool mayBeInLog) -> PendingAppend
{
    auto append = std::move(*state.m_inFlight);
    state.m_inFlight.reset();
    for (const auto& id : append.m_ids) {
        const auto found = state.m_operations.find(id);
        if (found == state.m_operations.end())
            continue;
        found->second.m_inFlight = false;
        found->second.m_sent = found->second.m_sent || mayBeInLog;
    }
    return append;
}

// Removes ids of completed operations, and appends without pending operations, so that both lists stay bounded.
auto prune(AppenderState& state) -> void
{
    const auto isCompleted = [&](const std::string& id) { return !state.m_operations.contains(id); };
    std::erase_if(state.m_waiting, isCompleted);
    std::erase_if(state.m_unconfirmed, [&](const PendingAppend& append) {
        return std::all_of(append.m_ids.begin(), append.m_ids.end(), isCompleted);
    });
}

auto failInFlight(AppenderState& state, Instant now) -> void
{
    auto append = finishInFlight(state, true);
    noteFailure(state, append.m_updatedAt, now);
    append.m_updatedAt = now;
    state.m_unconfirmed.push_back(std::move(append));
}

auto expiredResult(const std::string& id, const PendingOperation& pending) -> OperationResult
{
    if (pending.m_sent || pending.m_inFlight)
        return { id, 0, ErrorKind::OutcomeUnknown, "the log did not confirm operation " + id + " in time" };
    return { id, 0, ErrorKind::LogUnavailable, "the log is not available" };
}

} // namespace

auto makeAppender(const AppenderLimits& limits, Instant now) -> AppenderState
{
    AppenderState state;
    state.m_limits = limits;
    state.m_tokens = limits.m_burstAppends;
    state.m_refilledAt = now;
    return state;
}

auto setAppendRate(AppenderState& state, double fleetAppendsPerSecond, std::size_t members) -> void
{
    state.m_limits.m_appendsPerSecond = fleetAppendsPerSecond / static_cast<double>(std::max<std::size_t>(1, members));
}

auto enqueue(AppenderState& state, wire::Operation operation, const AppendOptions& options, Instant now,
    FailureReason& reason) -> bool
{
    const auto reject = [&](ErrorKind kind, std::string text) {
        fail(reason, kind, std::move(text));
        return false;
    };
    const auto found = state.m_operations.find(operation.id());
    if (found != state.m_operations.end()) {
        auto& pending = found->second;
        if (pending.m_operation->SerializeAsString() != operation.SerializeAsString())
            return reject(
                ErrorKind::Conflict, "operation id " + operation.id() + " is used by another pending operation");
        pending.m_options.m_deadline = std::max(pending.m_options.m_deadline, options.m_deadline);
        return true;
    }
    const auto bytes = operation.ByteSizeLong();
    if (bytes > state.m_limits.m_groupBytes)
        return reject(ErrorKind::TooLarge, "the operation is larger than the maximum record size");
    if (state.m_operations.size() >= state.m_limits.m_queuedOperations)
        return reject(ErrorKind::QueueFull, "too many operations wait for the log");
    if (!options.m_keepDuringOutage && rejectsUnsent(state, now))
        return reject(ErrorKind::LogUnavailable, "the log is not available");
    auto id = operation.id();
    state.m_waiting.push_back(id);
    auto shared = std::make_shared<const wire::Operation>(std::move(operation));
    state.m_operations.emplace(std::move(id), PendingOperation { std::move(shared), bytes, options, false });
    return true;
}

auto nextAppend(AppenderState& state, std::string_view author, WallMillis stampedAt, Instant now)
    -> std::optional<PendingAppend>
{
    refill(state, now);
    if (state.m_inFlight || inRetryDelay(state, now) || state.m_tokens < 1)
        return std::nullopt;
    wire::Group group;
    PendingAppend append;
    fillGroup(state, group, append.m_ids);
    if (append.m_ids.empty())
        return std::nullopt;
    group.set_format(recordFormat);
    group.set_author(std::string(author));
    group.set_stamped_at_ms(stampedAt);
    append.m_number = ++state.m_lastNumber;
    append.m_updatedAt = now;
    state.m_tokens -= 1;
    state.m_inFlight = append;
    append.m_record = group.SerializeAsString();
    return append;
}

auto onAppendOutcome(AppenderState& state, std::uint64_t number, AppendOutcome answer, Instant now) -> void
{
    if (!state.m_inFlight || state.m_inFlight->m_number != number)
        return;
    if (answer == AppendOutcome::Unknown) {
        failInFlight(state, now);
        return;
    }
    auto append = finishInFlight(state, answer == AppendOutcome::Appended);
    if (answer == AppendOutcome::NotAppended) {
        noteFailure(state, append.m_updatedAt, now);
        requeue(state, append.m_ids);
        return;
    }
    state.m_failingSince.reset();
    append.m_updatedAt = now;
    state.m_unconfirmed.push_back(std::move(append));
}

auto onFolded(AppenderState& state, std::span<const OperationResult> results, const OperationWindow& window)
    -> std::vector<OperationResult>
{
    std::vector<OperationResult> outcomes;
    for (const auto& result : results) {
        const auto* first = result.m_error == ErrorKind::Duplicate ? findResult(window, result.m_id) : nullptr;
        completeOperation(state, first != nullptr ? *first : result, outcomes);
    }
    if (!outcomes.empty())
        prune(state);
    return outcomes;
}

auto onSnapshotLoaded(AppenderState& state, const OperationWindow& window) -> std::vector<OperationResult>
{
    std::vector<OperationResult> found;
    for (const auto& [id, pending] : state.m_operations)
        if (const auto* result = findResult(window, id))
            found.push_back(*result);
    std::vector<OperationResult> outcomes;
    for (const auto& result : found)
        completeOperation(state, result, outcomes);
    prune(state);
    return outcomes;
}

auto onCaughtUp(AppenderState& state, Instant sentAt) -> void
{
    const auto isCoveredByRead = [&](const PendingAppend& append) { return append.m_updatedAt < sentAt; };
    const auto firstNotCovered
        = std::find_if_not(state.m_unconfirmed.begin(), state.m_unconfirmed.end(), isCoveredByRead);
    for (auto append = firstNotCovered; append != state.m_unconfirmed.begin();) {
        --append;
        requeue(state, append->m_ids);
    }
    state.m_unconfirmed.erase(state.m_unconfirmed.begin(), firstNotCovered);
}

auto expire(AppenderState& state, Instant now) -> std::vector<OperationResult>
{
    if (state.m_inFlight && now >= state.m_inFlight->m_updatedAt + state.m_limits.m_answerTimeout)
        failInFlight(state, now);
    const auto rejects = rejectsUnsent(state, now);
    std::vector<OperationResult> outcomes;
    std::erase_if(state.m_operations, [&](const auto& item) {
        const auto& [id, pending] = item;
        const auto isRejected
            = rejects && !pending.m_sent && !pending.m_inFlight && !pending.m_options.m_keepDuringOutage;
        if (!isRejected && now < pending.m_options.m_deadline)
            return false;
        outcomes.push_back(expiredResult(id, pending));
        return true;
    });
    if (!outcomes.empty())
        prune(state);
    return outcomes;
}

auto inOutage(const AppenderState& state, Instant now) -> bool
{
    return state.m_failingSince && now >= *state.m_failingSince + state.m_limits.m_outageAfter;
}

} // namespace hemlockvane
