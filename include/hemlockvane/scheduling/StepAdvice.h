#pragma once

#include "hemlockvane/scheduling/AdviceVerdict.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::scheduling {

/// @brief What is known from the advice service about the executors of one step.
///
/// A request names a limited number of executors, so the verdicts of several requests are kept side by side. Which
/// executors may run a step does not change, so only those without a verdict are asked about.
struct StepAdvice {
    std::vector<AdviceVerdict> m_verdicts; ///< In the order of the executors.
    std::vector<AdviceVerdict> m_asked; ///< Executors of the request in progress, in that order; without verdicts.
    Instant m_nextRequestAt; ///< Earliest time of the next request.
};

} // namespace hemlockvane::scheduling
