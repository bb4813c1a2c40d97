#pragma once

namespace hemlockvane::detail {

/// @brief Lets the allocator map each block of 128 KiB or more on its own, so that its memory returns to the system
/// when it is freed.
///
/// To be called before other threads start.
auto mapLargeBlocks() -> void;

} // namespace hemlockvane::detail
