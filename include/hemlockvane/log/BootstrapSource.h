#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Where a new instance takes its state from.
enum class BootstrapSource : std::uint8_t {
    WholeLog, ///< Fold from the first record on.
    LogSnapshot, ///< Load the newest complete snapshot and fold the records after it.
    Peer, ///< Ask a peer for its state, then fold the log from there when it is reachable.
    Wait ///< Neither has the state now.
};

} // namespace hemlockvane
