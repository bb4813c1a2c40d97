#pragma once

#include "hemlockvane/log/BootstrapSource.h"
#include "hemlockvane/log/BootstrapView.h"

namespace hemlockvane {

/// @brief Chooses the source of the state of an instance that is new or needs records that the log no longer keeps.
auto chooseBootstrap(const BootstrapView& view) -> BootstrapSource;

/// @brief True when the log no longer keeps the record at `nextOffset`, so that a snapshot or a peer is needed.
auto hasFallenBehind(Offset nextOffset, Offset oldestOffset) -> bool;

} // namespace hemlockvane
