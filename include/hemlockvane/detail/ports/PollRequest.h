#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane::detail {

/// @brief A poll at an executor: extends the lease, lets it forget ends, asks for its runs and ends.
struct PollRequest {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_acknowledgedEnd = 0;
    std::optional<std::int64_t> m_deadlineMs; ///< On the executor's clock; none: leases stay as they are.
    Duration m_wait { 0 }; ///< How long the answer may wait for an end.
};

} // namespace hemlockvane::detail
