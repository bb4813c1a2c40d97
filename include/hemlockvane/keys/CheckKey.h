#pragma once

#include "hemlockvane/errors/FailureReason.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane {

struct KeyCheckRequest;
struct KeyState;
struct PendingWithdrawals;

/// @brief Decides for which team a request's work is taken.
///
/// The index by hash finds the candidate; the hash is then compared in constant time. What the index's timing tells
/// is about the order of hashes, and nobody can choose a key by a prefix of its SHA-256.
/// @param keys as folded
/// @param flood withdrawals that are in force and not recorded yet
/// @param reason receives NotVouched, UnknownKey, WithdrawnKey or WrongTeam
/// @result the team, empty text for work on an open queue that names none
/// @complexity logarithmic in the keys
auto checkKey(const KeyState& keys, const PendingWithdrawals& flood, const KeyCheckRequest& question,
    FailureReason& reason) -> std::optional<std::string>;

/// @brief Compares byte strings in a time that depends on their lengths only.
auto equalInConstantTime(std::string_view left, std::string_view right) -> bool;

} // namespace hemlockvane
