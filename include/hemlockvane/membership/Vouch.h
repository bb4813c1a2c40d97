#pragma once

#include "hemlockvane/membership/MembershipState.h"
#include "hemlockvane/membership/VouchState.h"

#include <optional>
#include <string_view>

namespace hemlockvane {

/// @brief Sets the next offset to fold. Call after every fold and after loading a snapshot.
auto onFoldedEnd(VouchState& state, Offset foldedEnd) -> void;

/// @brief Raises the known end of the log, which is also implied by a newer epoch in a peer's message.
auto onKnownEnd(VouchState& state, Offset end) -> void;

/// @brief A read of the log has finished. Call after folding the records that were read.
/// @param sentAt when the request was sent, not when its answer came
/// @param logEnd next offset to be written, from the answer
auto onLogRead(VouchState& state, Instant sentAt, Offset logEnd) -> void;

/// @brief An instance list was received. Extends the vouch if the list allows it. A list that is older than the current
/// one or shows no entry is ignored.
auto onInstanceList(VouchState& state, const MembershipState& members, InstanceListView view, Instant now) -> void;

/// @brief A peer answered a heartbeat.
///
/// If the peer has read the log and this entry has folded as far, the vouch is extended from the time of the peer's
/// read. Otherwise a vouch that has not expired is extended if every other live entry cannot read the log either and
/// has not folded further: then no entry has seen a record that this one lacks.
/// @complexity linear in the entries
auto onPeerReport(VouchState& state, const MembershipState& members, std::string_view peer, const PeerReport& report,
    Instant now) -> void;

/// @brief True if this entry's own reads have recently reached the log's end. Sent in its heartbeats.
///
/// It becomes false after half the tenure, so that peers receive the change before their vouches expire.
auto readsLog(const VouchState& state, Instant now) -> bool;

/// @brief Time since this entry sent its last read that reached the log's end. Sent in its heartbeats.
/// @result empty if there was none
auto logReadAge(const VouchState& state, Instant now) -> std::optional<Duration>;

/// @brief True if the entry may act on its folded state, that is, its vouch has not expired. Call immediately before
/// each action.
/// @param now time of a monotonic clock that also advances while the machine is suspended
auto mayAct(const VouchState& state, Instant now) -> bool;

/// @brief When the vouch expires: the first instant at which the entry may not act any more.
/// @result the minimum if the entry was never vouched for
auto vouchedUntil(const VouchState& state) -> Instant;

/// @brief True if a removed entry has certainly stopped because its vouch has expired, however it was extended.
///
/// The removed entry may have extended its vouch with an instance list that did not show this entry yet. The list's lag
/// therefore counts twice: once for that list and once for the list that shows this entry.
/// @param readBackAt when this entry read the removal from the log
auto removedEntryHasStopped(const VouchLimits& limits, Instant readBackAt, Instant now) -> bool;

/// @brief True if the holder of a duty that was taken over may start to act as far as removed entries are concerned:
/// the last removed entry has certainly stopped, and a list that was requested after that still shows this entry.
/// @param readBackAt when this entry read the last removal from the log
auto mayStartTakeover(const VouchState& state, Instant readBackAt, Instant now) -> bool;

} // namespace hemlockvane
