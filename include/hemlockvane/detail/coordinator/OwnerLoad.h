#pragma once

#include <chrono>
#include <cstdint>

namespace hemlockvane::detail {

/// @brief What the owner did since its last line `event=load`.
struct OwnerLoad {
    std::uint64_t m_polls = 0; ///< Polls of executors that have ended.
    std::uint64_t m_pollsWithNews = 0; ///< Those that brought runs that had ended since the poll before.
    std::uint64_t m_pollsUnanswered = 0;
    std::uint64_t m_ends = 0; ///< Ended runs that were reported for the first time.
    std::uint64_t m_starts = 0; ///< Starts that have been answered or given up.
    std::uint64_t m_plans = 0;
    std::chrono::microseconds m_planTime { 0 }; ///< Time spent in plans, sweeps included.
    std::chrono::microseconds m_longestPlan { 0 };
    std::uint64_t m_batches = 0; ///< Batches that the journal has stored.
    std::chrono::milliseconds m_longestBatch { 0 }; ///< Longest time that one of them took.
    std::chrono::milliseconds m_longestDelay { 0 }; ///< Longest time by which the event loop resumed a timer late.
};

} // namespace hemlockvane::detail
