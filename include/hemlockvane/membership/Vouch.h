#pragma once

#include "hemlockvane/membership/MembershipState.h"
#include "hemlockvane/membership/VouchState.h"

#include <optional>
#include <string_view>

namespace hemlockvane {

/// @brief Tells how far this entry has folded; call it after every fold and after loading a snapshot.
auto onFoldedEnd(VouchState& state, Offset foldedEnd) -> void;

/// @brief Tells that the log, or a newer epoch in a peer's message, reaches at least to `end`.
auto onKnownEnd(VouchState& state, Offset end) -> void;

/// @brief Takes a finished read of the log; call it after folding what was read.
/// @param sentAt when the request was sent, not when its answer came
/// @param logEnd next offset to be written, as the answer says
auto onLogRead(VouchState& state, Instant sentAt, Offset logEnd) -> void;

/// @brief Takes a newer answer of the instance list and extends the vouch where it allows; one that shows no entry at
/// all is ignored.
auto onInstanceList(VouchState& state, const MembershipState& members, InstanceListView view, Instant now) -> void;

/// @brief Takes a peer's answer to a beat.
///
/// A peer that read the log vouches for this entry too once its end is folded here. Otherwise, while the vouch is
/// unbroken, it is extended when every other live entry lacks the log as well and has folded no further.
/// @complexity linear in the entries
auto onPeerReport(VouchState& state, const MembershipState& members, std::string_view peer, const PeerReport& report,
    Instant now) -> void;

/// @brief True when this entry's own reads have reached the log's end lately; goes into its beats.
///
/// Turns false at half the tenure, so that peers learn it while their vouches are unbroken.
auto readsLog(const VouchState& state, Instant now) -> bool;

/// @brief Time since this entry sent its last read that reached the log's end; goes into its beats.
/// @result empty when there was none
auto logReadAge(const VouchState& state, Instant now) -> std::optional<Duration>;

/// @brief True when the entry may act on its folded state; to be asked right before each act.
/// @param now read from the monotonic clock that counts suspend
auto mayAct(const VouchState& state, Instant now) -> bool;

/// @brief First instant at which the entry may no longer act; the minimum when it never might.
auto vouchedUntil(const VouchState& state) -> Instant;

/// @brief True when a removed entry has certainly stopped: its vouch ran out, by whichever way it was vouched for.
///
/// It may have extended its vouch with an instance list from before this entry was listed; so the list's lag counts
/// twice, once for its list and once for the list that shows this entry.
/// @param readBackAt when this entry read the removal back from the log
auto removedEntryHasStopped(const VouchLimits& limits, Instant readBackAt, Instant now) -> bool;

/// @brief True when the holder of a taken duty may start as far as removed entries are concerned: the last removal is
/// settled, and a list asked for after that still shows this entry.
auto mayStartTakeover(const VouchState& state, Instant readBackAt, Instant now) -> bool;

} // namespace hemlockvane
