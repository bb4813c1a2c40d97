#pragma once

#include <cstddef>
#include <cstdint>

namespace hemlockvane {

/// @brief All kinds of errors. The numbers are stable, since they are stored; see docs/errors.md.
enum class ErrorKind : std::uint8_t {
    None = 0,
    BadRequest = 1,
    UnknownKey = 2,
    WithdrawnKey = 3,
    WrongTeam = 4,
    OverLimit = 5,
    QueueFull = 6,
    DeadlinePassed = 7,
    NoCapacity = 8,
    Draining = 9,
    NotVouched = 10,
    LogUnavailable = 11,
    Conflict = 12,
    Duplicate = 13,
    OutcomeUnknown = 14,
    AnswerLost = 15,
    NeverRunnable = 16,
    Cancelled = 17,
    Internal = 18,
    NotFound = 19,
    TooLarge = 20,
    StaleEpoch = 21,
    OverBudget = 22,
};

/// @brief Number of error kinds, None included.
inline constexpr std::size_t errorKindCount = 23;

} // namespace hemlockvane
