#pragma once

#include <cstddef>

namespace hemlockvane::scheduling {

struct Job;
struct JobSpec;
struct Scheduler;

/// @brief Estimate of the memory that a job will take while it waits for its start, in bytes.
[[nodiscard]] auto memoryOf(const JobSpec& spec) -> std::size_t;

/// @brief Estimate of the memory that a known job takes, with its open occurrences and the tasks that were started.
[[nodiscard]] auto memoryOf(const Job& job) -> std::size_t;

/// @brief Counts that many bytes for the job in `Scheduler::m_jobMemory`, in place of what was counted before.
auto countMemory(Scheduler& scheduler, Job& job, std::size_t bytes) -> void;

} // namespace hemlockvane::scheduling
