#include "hemlockvane/jobs/JobState.h"

namespace hemlockvane {

auto indexRunning(JobState& state, const std::string& id, const std::string& worker) -> void
{
    state.m_running.insert(id);
    state.m_runningByWorker[worker].insert(id);
}

auto unindexRunning(JobState& state, const std::string& id, const std::string& worker) -> void
{
    state.m_running.erase(id);
    const auto found = state.m_runningByWorker.find(worker);
    if (found == state.m_runningByWorker.end())
        return;
    found->second.erase(id);
    if (found->second.empty())
        state.m_runningByWorker.erase(found);
}

} // namespace hemlockvane
