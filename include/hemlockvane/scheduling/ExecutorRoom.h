#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstdint>
#include <tuple>

namespace hemlockvane::scheduling {

/// @brief Place of an executor among those of its pool with the same capacity: the fullest first.
struct ExecutorRoom {
    std::int64_t m_negatedCpu = 0; ///< Reserved processor in millicores, negated.
    std::uint64_t m_activation = 0; ///< Equally full executors come in the order of their activation.
    ExecutorIndex m_index = 0;
};

/// @brief Order of the executors of a pool with the same capacity.
[[nodiscard]] inline auto isFuller(const ExecutorRoom& left, const ExecutorRoom& right) -> bool
{
    return std::tie(left.m_negatedCpu, left.m_activation) < std::tie(right.m_negatedCpu, right.m_activation);
}

} // namespace hemlockvane::scheduling
