#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane::detail {

/// @brief A poll of an executor: extends its lease, acknowledges ended runs and requests its active and ended runs.
struct PollRequest {
    std::uint64_t m_fencingToken = 0;
    std::uint64_t m_acknowledgedEnd = 0;
    std::optional<std::int64_t> m_deadlineMs; ///< New end of the lease, on the executor's clock; none: not extended.
    Duration m_wait { 0 }; ///< How long the executor may wait for an ended run before it answers.
};

} // namespace hemlockvane::detail
