#pragma once

#include "hemlockvane/log/FoldContext.h"

namespace hemlockvane::wire {
class Envelope;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

/// @brief Newest epoch that a peer's message names: the log reaches at least as far.
/// @result 0 when the message names none
auto newestEpoch(const wire::Envelope& envelope) -> Offset;

} // namespace hemlockvane::detail
