#pragma once

#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief Tasks of a job in one part of its progress. With the store's usual limits a task may take 4 KB of a record.
inline constexpr std::size_t tasksPerPart = 64;

/// @brief Divides the progress of a job, so that each part fits into a record of the store however many tasks the job
/// has.
///
/// A task and its runs are always in the same part. Part 0, which holds all that is not of one task, is always there;
/// others without content are left out.
auto divideProgress(const scheduling::JobSpec& spec, scheduling::JobProgress progress)
    -> std::map<std::uint32_t, scheduling::JobProgress>;

/// @brief Encodes a part. If it is too large for a record, checkpoints are left out, the largest first: their tasks
/// start from the beginning after a takeover, but are not lost.
/// @param maximumBytes of the encoded part
auto encodePart(scheduling::JobProgress part, std::size_t maximumBytes) -> std::string;

/// @brief Divides records among appends, in order.
/// @param requestBytes limit of one append
auto divideRecords(std::vector<std::string> records, std::size_t requestBytes) -> std::vector<std::vector<std::string>>;

} // namespace hemlockvane::detail
