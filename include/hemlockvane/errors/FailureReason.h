#pragma once

#include "hemlockvane/errors/ErrorKind.h"

#include <optional>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Why the last call that returned an empty optional did so.
///
/// Functions that can fail take a `FailureReason&` as their last parameter and return an empty `std::optional`.
struct FailureReason {
    ErrorKind m_kind = ErrorKind::None;
    std::string m_text; ///< For people: one short sentence without a full stop.
};

/// @brief Records a reason and returns the empty optional that goes with it.
/// @param reason receives the kind and the text
/// @param kind a kind other than None
/// @param text one short sentence for people
inline auto fail(FailureReason& reason, ErrorKind kind, std::string text) -> std::nullopt_t
{
    reason.m_kind = kind;
    reason.m_text = std::move(text);
    return std::nullopt;
}

} // namespace hemlockvane
