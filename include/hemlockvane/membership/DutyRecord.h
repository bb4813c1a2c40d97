#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief Who holds a duty and since which epoch.
struct DutyRecord {
    std::string m_holder; ///< Empty: released.
    Offset m_epoch = 0; ///< Offset of the record that gave the duty.
};

} // namespace hemlockvane
