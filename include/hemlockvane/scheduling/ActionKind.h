#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Kind of request that an action sends to an executor or to the advice service.
enum class ActionKind : std::uint8_t {
    Start,
    Stop,
    Pace,
    AskAdvice,
};

} // namespace hemlockvane::scheduling
