#pragma once

#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::scheduling {

struct Executor;
struct Scheduler;
struct StepAdvice;
struct TaskKey;

/// @brief The ticket with which a task of the step may be started on the executor's present life; empty: none.
[[nodiscard]] auto ticketFor(const StepAdvice& advice, const Executor& executor, ExecutorIndex index)
    -> std::string_view;

/// @brief Whether there is a ticket for any executor.
[[nodiscard]] auto hasTickets(const StepAdvice& advice) -> bool;

/// @brief Drops the tickets that have expired, so that the service is asked about their executors again.
/// @result whether there were any
auto expireTickets(StepAdvice& advice, Instant now) -> bool;

/// @brief Drops the ticket that an executor has refused.
/// @param nextRequestAt earliest time of the next request to the service
auto dropTicket(StepAdvice& advice, ExecutorIndex index, Instant nextRequestAt) -> void;

/// @brief Chooses the executors to ask about: those without a verdict on their present life, up to the service's limit
/// for one request.
/// @param preferred executors to be asked about first
/// @param others executors to be asked about as far as the limit allows
[[nodiscard]] auto executorsToAsk(const Scheduler& scheduler, const StepAdvice& advice,
    std::span<const ExecutorIndex> preferred, std::span<const ExecutorIndex> others) -> std::vector<ExecutorIndex>;

/// @brief Notes that the service is being asked about executors.
auto noteAdviceRequested(const Scheduler& scheduler, StepAdvice& advice, std::span<const ExecutorIndex> executors)
    -> void;

/// @brief Applies the answer of the advice service.
/// @param tickets ids of the executors that may run the step, with their tickets
/// @param askedAt when the service was asked
auto applyAdvice(Scheduler& scheduler, const TaskKey& step, const std::map<std::string, std::string>& tickets,
    Duration validFor, Instant askedAt) -> void;

/// @brief Notes that the service did not answer, so that it is asked again after a pause.
auto applyMissingAdvice(Scheduler& scheduler, const TaskKey& step, Instant now) -> void;

} // namespace hemlockvane::scheduling
