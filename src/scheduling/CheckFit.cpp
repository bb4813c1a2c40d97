#include "hemlockvane/scheduling/CheckFit.h"

#include "hemlockvane/scheduling/Executor.h"
#include "hemlockvane/scheduling/Labels.h"
#include "hemlockvane/scheduling/QueueRules.h"
#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/StartCandidate.h"
#include "hemlockvane/scheduling/StepSpec.h"
#include "hemlockvane/scheduling/StepState.h"

namespace hemlockvane::scheduling {

auto obstacleToRoom(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index,
    const Resources& planned) -> std::string_view
{
    const auto& spec = *candidate.m_spec;
    auto used = executor.m_used;
    addTo(used, planned);
    if (!fitsWithin(candidate.m_need, used, executor.m_entry.m_capacity))
        return "full";
    if (!hasLabel(executor.m_entry.m_labels, spec.m_requiredLabel))
        return "other_label";
    const auto runsOnExecutor = candidate.m_state->m_runsByExecutor.find(index);
    const auto isWithinLimit = spec.m_perExecutorLimit == 0
        || runsOnExecutor == candidate.m_state->m_runsByExecutor.end()
        || runsOnExecutor->second < spec.m_perExecutorLimit;
    return isWithinLimit ? "" : "step_limit";
}

auto hasTicket(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index) -> bool
{
    return !candidate.m_queue->m_needsAdvice || !ticketFor(candidate.m_state->m_advice, executor, index).empty();
}

} // namespace hemlockvane::scheduling
