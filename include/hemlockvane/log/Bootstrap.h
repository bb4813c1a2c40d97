#pragma once

#include "hemlockvane/log/BootstrapSource.h"
#include "hemlockvane/log/BootstrapView.h"

namespace hemlockvane {

/// @brief Chooses where a new instance, or one that fell behind the oldest kept record, takes its state from.
auto chooseBootstrap(const BootstrapView& view) -> BootstrapSource;

/// @brief True when the records that this state needs next have expired, so that only a snapshot or a peer helps.
auto hasFallenBehind(Offset nextOffset, Offset oldestOffset) -> bool;

} // namespace hemlockvane
