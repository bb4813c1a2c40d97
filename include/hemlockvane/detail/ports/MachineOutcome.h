#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief Outcome of an order for a machine.
enum class MachineOutcome : std::uint8_t {
    Done, ///< Started, now or by an earlier order.
    Fenced, ///< An order with a higher fencing token was given for the machine.
    Busy, ///< The machine is not up, or is leaving its pool.
    NotInWave,
    Impossible, ///< No such machine, or the pool has machines of another kind.
    Refused, ///< Nothing was done.
    Unknown, ///< No answer: the request may have been carried out, or may still be.
};

} // namespace hemlockvane::detail
