#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockvane::detail {

struct JobAdmission;
struct JobMemoryView;

/// @brief Decides whether a new job is accepted, and counts it if so.
///
/// Answers the load of callers who hand in more, or larger, jobs than the owner can hold: each owner that loaded them
/// would run out of memory. A workspace is refused what would leave less for the others than it uses itself. All
/// instances admit jobs until the owner's next record, so each of them takes a small part of what is left at a time,
/// though at least one job.
/// @param left what the owner has last told
/// @param renewal offset of the record that told it
/// @param bytes estimate of the job's memory
auto admitJob(JobAdmission& admission, const JobMemoryView& left, std::uint64_t renewal, const std::string& workspace,
    std::size_t bytes) -> bool;

} // namespace hemlockvane::detail
