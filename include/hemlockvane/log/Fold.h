#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/OperationResult.h"

#include <span>
#include <string_view>
#include <vector>

namespace hemlockvane::wire {
class Group;
} // namespace hemlockvane::wire

namespace hemlockvane {

/// @brief Newest record format that this program can fold.
inline constexpr std::uint32_t recordFormat = 1;

/// @brief Applies one group of operations at the state's next offset.
///
/// A group of a newer format, or one with an operation of unknown kind, halts the fold: `m_halted` is set and the rest
/// of the state stays unchanged. Only a program version that supports the record can continue.
/// @param state changed in place
/// @param group the decoded record
/// @result one result for each operation, empty when halted
/// @complexity logarithmic in the state for each operation
auto foldGroup(FleetState& state, const wire::Group& group) -> std::vector<OperationResult>;

/// @brief Decodes and applies one record; a record that cannot be decoded as a group counts as an empty group.
auto foldRecord(FleetState& state, std::string_view record) -> std::vector<OperationResult>;

} // namespace hemlockvane
