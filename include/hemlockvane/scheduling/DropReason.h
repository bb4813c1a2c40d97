#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Why the scheduler forgot a run without having read its end.
enum class DropReason : std::uint8_t {
    NewLife, ///< Its executor has started again under its id.
    OtherIncarnation, ///< Another executor answered at its executor's address.
    ListOfMachines, ///< The list of machines shows that its executor has ended.
    MachineLost, ///< Its executor is unresponsive and not listed, and its machine is down, gone or has another one.
    LeaseLapsed, ///< Its executor is unresponsive, and its lease has expired.
    Refused, ///< Its start was refused, or given up before it was sent.
    NotSent, ///< Its start was dropped before it was sent.
    NotReported, ///< It is of an earlier owner, and its executor does not have it.
    Stopped, ///< Its stop was confirmed, and its executor does not have it any more.
};

} // namespace hemlockvane::scheduling
