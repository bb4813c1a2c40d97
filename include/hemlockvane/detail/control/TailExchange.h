#pragma once

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Exchanges the latest records with peers: requests them while this entry cannot read the log, and sends them
/// to peers that request them.
///
/// During an outage of the log all entries reach the same offset in this way. If only this entry cannot reach the log,
/// it keeps folding what a peer has read.
auto attachTailExchange(ControlCore& core) -> void;

} // namespace hemlockvane::detail
