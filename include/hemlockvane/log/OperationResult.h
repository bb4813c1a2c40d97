#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief What the fold made of one operation.
struct OperationResult {
    std::string m_id;
    Offset m_offset = 0;
    ErrorKind m_error = ErrorKind::None; ///< None: accepted.
    std::string m_reason;
};

} // namespace hemlockvane
