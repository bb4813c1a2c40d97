#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <optional>
#include <span>

namespace hemlockvane::ingress {

struct ConnectionUse;

/// @brief Chooses the connection to close for its memory: the one whose incomplete request began first.
///
/// Answers the load of clients that leave many requests incomplete: ordinary requests are complete within milliseconds,
/// so they are rarely the oldest.
/// @result index in `uses`; empty if no incomplete request holds memory
[[nodiscard]] auto chooseForMemory(std::span<const ConnectionUse> uses) -> std::optional<std::size_t>;

/// @brief Chooses the connection to close for a new one: the one whose incomplete request began first, else the one
/// that has been idle longest.
/// @param startedBefore connections whose phase began later are kept
/// @result index in `uses`; empty if none may be closed
[[nodiscard]] auto chooseForConnection(std::span<const ConnectionUse> uses, Instant startedBefore)
    -> std::optional<std::size_t>;

} // namespace hemlockvane::ingress
