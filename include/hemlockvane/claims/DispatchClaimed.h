#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief The request may be sent, once, now. The shell ends it by `onClaimOutcome`.
struct DispatchClaimed {
    std::uint64_t m_ticket = 0;
};

} // namespace hemlockvane
