#pragma once

#include "hemlockvane/log/FoldContext.h"

namespace hemlockvane::wire {
class Envelope;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

/// @brief Highest epoch in the fences of a peer's message. An epoch is an offset plus one, so that the log reaches at
/// least to it.
/// @result 0 when the message has no fence
auto newestEpoch(const wire::Envelope& envelope) -> Offset;

} // namespace hemlockvane::detail
