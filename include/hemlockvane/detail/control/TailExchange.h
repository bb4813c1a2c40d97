#pragma once

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Lets this entry take records from peers while it does not read the log, and gives them to others.
///
/// While the log is down all entries so come level, and an entry that is cut off from the log alone follows a peer.
auto attachTailExchange(ControlCore& core) -> void;

} // namespace hemlockvane::detail
