#pragma once

#include "hemlockvane/jobs/JobRecord.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Jobs by id, with the indexes that decisions walk.
struct JobState {
    std::map<std::string, JobRecord, std::less<>> m_jobs;
    std::set<std::string, std::less<>> m_queued;
    std::set<std::string, std::less<>> m_running;
    std::set<std::pair<WallMillis, std::string>> m_ended; ///< By time of the end.
};

} // namespace hemlockvane
