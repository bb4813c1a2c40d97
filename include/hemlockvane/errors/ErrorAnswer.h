#pragma once

#include "hemlockvane/errors/ErrorKind.h"

#include <string_view>

namespace hemlockvane {

/// @brief How an error kind is answered to a caller.
struct ErrorAnswer {
    ErrorKind m_kind;
    std::string_view m_name; ///< Stable name in answers, for example "queue_full".
    unsigned m_httpStatus;
    bool m_guaranteesNotRun; ///< True: the request was certainly not run.
    bool m_isRetryable; ///< True: the same request may succeed later.
};

/// @brief Answer for an error kind.
/// @param kind any kind of the closed list
/// @result the row of the table; the row of Internal for a number outside the list
/// @complexity constant
auto errorAnswer(ErrorKind kind) -> const ErrorAnswer&;

} // namespace hemlockvane
