#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Source from which an instance gets its state.
enum class BootstrapSource : std::uint8_t {
    WholeLog, ///< Fold all records from the first one on.
    LogSnapshot, ///< Load the newest complete snapshot and fold the records after it.
    Peer, ///< Ask a peer for its state, then fold the log from there when it is reachable.
    Wait ///< No source is available now; try again later.
};

} // namespace hemlockvane
