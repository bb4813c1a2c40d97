#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Send the request of a ticket to an executor, once and now, and report its result by `onClaimOutcome`.
struct DispatchClaimed {
    std::uint64_t m_ticket = 0;
};

} // namespace hemlockvane
