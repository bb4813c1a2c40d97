#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane::scheduling {

struct Executor;

} // namespace hemlockvane::scheduling

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Deadline of a lease that is granted now, on the executor's clock; never later than a new owner waits.
///
/// The lease of an unresponsive executor is not extended, since a request without an answer may still be carried out:
/// its tasks can be restarted elsewhere once the leases already granted have expired.
/// @result none if no lease may be granted
auto leaseDeadline(const CoordinatorState& state, const scheduling::Executor& executor, Instant now)
    -> std::optional<std::int64_t>;

} // namespace hemlockvane::detail
