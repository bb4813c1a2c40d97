#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane::fleetrun {

/// @brief What executors know of the tasks of a step, which a start does not say.
struct StepFacts {
    std::int64_t m_cpu = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_workMs = 0;
    bool m_isLasting = false;
    bool m_isHopeless = false; ///< Each run fails.
    bool m_mayRunTwice = false;
};

using FactsByStep = std::map<std::string, StepFacts>; ///< By ID.STEP of the job.

} // namespace hemlockvane::fleetrun
