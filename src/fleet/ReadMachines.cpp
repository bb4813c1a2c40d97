#include "hemlockvane/fleet/ReadMachines.h"

#include "hemlockvane/fleet/MachineHistory.h"

#include <algorithm>
#include <utility>

namespace hemlockvane::fleet {

namespace {

// An executor that starts again under its id is down for a moment. Its entry is removed two heartbeats after it ended
// at the earliest (3 s), and lists are read each 2 s: one that has ended for good has been listed as down for this
// long.
constexpr Duration shortestLoss { 1000 };

auto isDownForGood(const MachineHistory& history, const std::string& machine) -> bool
{
    const auto since = history.m_downSince.find(machine);
    return since != history.m_downSince.end() && history.m_newest.m_askedAt - since->second >= shortestLoss;
}

} // namespace

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
    std::map<std::string, Instant> downSince;
    for (const auto& machine : history.m_newest.m_machines) {
        if (machine.m_state != MachineState::Down)
            continue;
        const auto known = history.m_downSince.find(machine.m_id);
        downSince.emplace(
            machine.m_id, known == history.m_downSince.end() ? history.m_newest.m_askedAt : known->second);
    }
    history.m_downSince = std::move(downSince);
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
    if (!isNewerThan(history.m_newest, learntAt))
        return false;
    if (found->m_state == MachineState::Down)
        return isDownForGood(history, found->m_id);
    // A machine that has come up may not name its executor yet.
    const auto hasOther = !found->m_executorId.empty() && found->m_executorId != executorId;
    return found->m_state != MachineState::Up || hasOther;
}

} // namespace hemlockvane::fleet
