#pragma once

#include "hemlockvane/errors/ErrorKind.h"

#include <optional>
#include <string>
#include <utility>

namespace hemlockvane {

/// @brief Why a call failed.
///
/// A function that can fail takes a `FailureReason&` as its last parameter, fills it on failure and returns an empty
/// `std::optional` or false.
struct FailureReason {
    ErrorKind m_kind = ErrorKind::None;
    std::string m_text; ///< Human-readable: one short sentence without a full stop.
};

/// @brief Fills a reason and returns `std::nullopt`, so that a function can fail with `return fail(...)`.
/// @param reason receives the kind and the text
/// @param kind not None
/// @param text one short human-readable sentence without a full stop
inline auto fail(FailureReason& reason, ErrorKind kind, std::string text) -> std::nullopt_t
{
    reason.m_kind = kind;
    reason.m_text = std::move(text);
    return std::nullopt;
}

} // namespace hemlockvane
