#pragma once

#include "hemlockvane/jobs/JobRecord.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Jobs by id, with indexes by status and worker.
struct JobState {
    std::map<std::string, JobRecord, std::less<>> m_jobs;
    std::set<std::string, std::less<>> m_queued;
    std::set<std::string, std::less<>> m_running;
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_runningByWorker;
    std::set<std::pair<WallMillis, std::string>> m_ended; ///< Ended jobs with the time of their end, oldest first.
};

/// @brief Adds a running job to the indexes.
auto indexRunning(JobState& state, const std::string& id, const std::string& worker) -> void;

/// @brief Removes a job that no longer runs from the indexes.
auto unindexRunning(JobState& state, const std::string& id, const std::string& worker) -> void;

} // namespace hemlockvane
