#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Whether the log needs a new snapshot.
enum class SnapshotNeed : std::uint8_t {
    None,
    Due, ///< The last snapshot is old; the holder of the snapshot duty writes a new one.
    Overdue ///< The state cannot be restored from the log alone; a snapshot is urgent.
};

} // namespace hemlockvane
