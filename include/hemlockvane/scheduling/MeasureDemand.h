#pragma once

#include "hemlockvane/scheduling/PoolDemand.h"
#include "hemlockvane/time/Time.h"

#include <map>
#include <string>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Measures the current processor demand of each service's queues.
auto measureDemand(const Scheduler& scheduler, Instant now) -> std::map<std::string, PoolDemand>;

} // namespace hemlockvane::scheduling
