#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/log/FoldContext.h"

#include <string>

namespace hemlockvane {

/// @brief Result of folding one operation.
struct OperationResult {
    std::string m_id;
    Offset m_offset = 0; ///< Offset of its record plus one; 0: not folded.
    ErrorKind m_error = ErrorKind::None; ///< None: accepted.
    std::string m_reason;
};

} // namespace hemlockvane
