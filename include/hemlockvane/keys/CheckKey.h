#pragma once

#include "hemlockvane/errors/FailureReason.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane {

struct KeyCheckRequest;
struct KeyState;
struct PendingWithdrawals;

/// @brief Checks a request's key and decides for which team the request is accepted.
///
/// A lookup by hash finds the candidate, and then the hashes are compared in constant time. The timing of the lookup
/// reveals only the order of SHA-256 hashes, which does not help to guess a key.
/// @param keys state folded from the log
/// @param pending withdrawals that are in force but not folded everywhere yet
/// @param reason receives NotVouched, UnknownKey, WithdrawnKey or WrongTeam
/// @result the team; an empty string for a request to an open queue that names no team
/// @complexity logarithmic in the keys
auto checkKey(const KeyState& keys, const PendingWithdrawals& pending, const KeyCheckRequest& request,
    FailureReason& reason) -> std::optional<std::string>;

/// @brief Compares byte strings in a time that depends only on their lengths.
auto equalInConstantTime(std::string_view left, std::string_view right) -> bool;

} // namespace hemlockvane
