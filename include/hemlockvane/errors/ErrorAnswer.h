#pragma once

#include "hemlockvane/errors/ErrorKind.h"

#include <string_view>

namespace hemlockvane {

/// @brief How an error kind is reported to a caller.
struct ErrorAnswer {
    ErrorKind m_kind;
    std::string_view m_name; ///< Stable name in answers, for example "queue_full".
    unsigned m_httpStatus;
    bool m_guaranteesNotRun; ///< The request was certainly not run.
    bool m_isRetryable; ///< The same request may succeed later.
};

/// @brief The answer for an error kind.
/// @result the answer for Internal if the number of `kind` is not that of an ErrorKind
/// @complexity constant
auto errorAnswer(ErrorKind kind) -> const ErrorAnswer&;

} // namespace hemlockvane
