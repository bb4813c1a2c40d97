#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief How the platform took an order for a machine.
enum class MachineOutcome : std::uint8_t {
    Done, ///< Begun, now or already.
    Fenced, ///< A higher token has been used for the machine.
    Busy, ///< Not up, or leaving.
    NotInWave,
    Impossible, ///< No such machine, or a pool of other machines.
    Refused, ///< Nothing was done.
    Unknown, ///< No answer.
};

} // namespace hemlockvane::detail
