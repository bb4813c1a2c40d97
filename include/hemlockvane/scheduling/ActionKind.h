#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief What an executor, or the advice service, is to be told.
enum class ActionKind : std::uint8_t {
    Start,
    Stop,
    Pace,
    AskAdvice,
};

} // namespace hemlockvane::scheduling
