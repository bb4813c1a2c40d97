#pragma once

#include "hemlockvane/fleet/Machine.h"
#include "hemlockvane/time/Time.h"

#include <string>

namespace hemlockvane::fleet {

struct MachineHistory;
struct MachineList;

/// @brief Whether a list may overrule what was learnt at a time: only one that was asked for afterwards.
///
/// Everything that concludes from a list asks this, since a list may be late, or the last one before an outage of the
/// service.
[[nodiscard]] auto isNewerThan(const MachineList& list, Instant learntAt) -> bool;

/// @brief Finds a machine in a list; null when it is not listed.
[[nodiscard]] auto findMachine(const MachineList& list, const std::string& machine) -> const Machine*;

/// @brief Makes a list the newest one.
auto recordList(MachineHistory& history, MachineList list) -> void;

/// @brief Notes that the registry shows an executor, or a new life of it, on a machine.
auto noteJoined(MachineHistory& history, const std::string& machine, const std::string& executorId, Instant now)
    -> void;

/// @brief Whether a machine does not exist any more.
///
/// It has to be missing from two lists in a row, since the pages of one are read one after the other and a machine may
/// change its place meanwhile. Both have to be newer than what is known of the machine.
/// @param learntAt when the machine was last known to exist, not counting lists and the registry
[[nodiscard]] auto isGone(const MachineHistory& history, const std::string& machine, Instant learntAt) -> bool;

/// @brief Whether the registry shows an executor on a listed machine that has joined since the list was asked for, so
/// that the list names an earlier one.
[[nodiscard]] auto hasJoinedSince(const MachineHistory& history, const Machine& listed) -> bool;

/// @brief Whether the lists show that an executor, which was last known on a machine, can carry out nothing any more:
/// the machine is moving or under upkeep, has another executor, does not exist any more, or has been down for longer
/// than an executor takes that starts again.
///
/// The platform says so of the machine itself. A machine that is only cut off, from the store or from its callers,
/// stays listed as up with the same executor.
/// @param machine the executor's machine; empty if it is only known from lists
/// @param learntAt when the executor was last known to live, or was found to be missing from the registry
[[nodiscard]] auto isExecutorGone(
    const MachineHistory& history, const std::string& executorId, const std::string& machine, Instant learntAt) -> bool;

} // namespace hemlockvane::fleet
