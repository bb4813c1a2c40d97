#include "hemlockvane/fleet/ReadMachines.h"

#include "hemlockvane/fleet/MachineHistory.h"

#include <algorithm>
#include <utility>

namespace hemlockvane::fleet {

auto isNewerThan(const MachineList& list, Instant learntAt) -> bool { return list.m_askedAt > learntAt; }

auto findMachine(const MachineList& list, const std::string& machine) -> const Machine*
{
    const auto found = std::find_if(
        list.m_machines.begin(), list.m_machines.end(), [&](const Machine& listed) { return listed.m_id == machine; });
    return found == list.m_machines.end() ? nullptr : &*found;
}

auto recordList(MachineHistory& history, MachineList list) -> void
{
    history.m_previous = std::exchange(history.m_newest, std::move(list));
}

auto noteJoined(MachineHistory& history, const std::string& machine, const std::string& executorId, Instant now) -> void
{
    history.m_joined[machine] = { executorId, now };
}

auto isGone(const MachineHistory& history, const std::string& machine, Instant learntAt) -> bool
{
    const auto joined = history.m_joined.find(machine);
    const auto knownAt = joined == history.m_joined.end() ? learntAt : std::max(learntAt, joined->second.m_noticedAt);
    const auto isMissing
        = [&](const MachineList& list) { return isNewerThan(list, knownAt) && findMachine(list, machine) == nullptr; };
    return isMissing(history.m_previous) && isMissing(history.m_newest);
}

auto hasJoinedSince(const MachineHistory& history, const Machine& listed) -> bool
{
    const auto joined = history.m_joined.find(listed.m_id);
    return joined != history.m_joined.end() && joined->second.m_id != listed.m_executorId
        && !isNewerThan(history.m_newest, joined->second.m_noticedAt);
}

auto isExecutorGone(
    const MachineHistory& history, const std::string& executorId, const std::string& machine, Instant learntAt) -> bool
{
    const auto& machines = history.m_newest.m_machines;
    const auto found = std::find_if(machines.begin(), machines.end(), [&](const Machine& listed) {
        return machine.empty() ? listed.m_executorId == executorId : listed.m_id == machine;
    });
    if (found == machines.end())
        return !machine.empty() && isGone(history, machine, learntAt);
    // A machine that has come up may not name its executor yet.
    const auto mayRun
        = found->m_state == MachineState::Up && (found->m_executorId.empty() || found->m_executorId == executorId);
    return !mayRun && isNewerThan(history.m_newest, learntAt);
}

} // namespace hemlockvane::fleet
