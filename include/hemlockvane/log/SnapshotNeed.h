#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Whether the log needs a new snapshot.
enum class SnapshotNeed : std::uint8_t {
    None,
    Due, ///< The last one is old; the duty's holder writes one.
    Overdue ///< The log alone no longer gives the state: to be written before anything else.
};

} // namespace hemlockvane
