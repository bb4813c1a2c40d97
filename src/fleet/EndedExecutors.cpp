#include "hemlockvane/fleet/EndedExecutors.h"

#include <map>
#include <string_view>

namespace hemlockvane::fleet {

auto endedExecutors(std::span<const Machine> before, std::span<const Machine> now) -> std::vector<std::string>
{
    std::map<std::string_view, const Machine*> current;
    for (const auto& machine : now)
        current.emplace(machine.m_id, &machine);
    std::vector<std::string> ended;
    for (const auto& machine : before) {
        const auto found = current.find(machine.m_id);
        // A machine that is down or no longer listed may be cut off by a network partition and still run its executor.
        if (machine.m_executorId.empty() || found == current.end())
            continue;
        const auto state = found->second->m_state;
        const auto isAway = state == MachineState::Moving || state == MachineState::Upkeep;
        const auto hasOther = state == MachineState::Up && !found->second->m_executorId.empty()
            && found->second->m_executorId != machine.m_executorId;
        if (isAway || hasOther)
            ended.push_back(machine.m_executorId);
    }
    return ended;
}

} // namespace hemlockvane::fleet
