#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief Holder and epoch of a duty.
struct DutyRecord {
    std::string m_holder; ///< Empty if the duty was released.
    Offset m_epoch = 0; ///< Offset plus one of the record by which the holder took the duty.
};

} // namespace hemlockvane
