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

/// @brief Newest record format that this program folds.
inline constexpr std::uint32_t recordFormat = 1;

/// @brief Applies one group of operations at the state's next offset.
///
/// A group of a newer format, or an operation of an unknown kind, halts the fold: the state stays as it was, and
/// `m_halted` is set until a program that knows the record takes over.
/// @param state is changed in place
/// @param group the decoded record
/// @result one result an operation, empty when halted
/// @complexity logarithmic in the state for each operation
auto foldGroup(FleetState& state, const wire::Group& group) -> std::vector<OperationResult>;

/// @brief Decodes and applies one record; a record that is no group counts as an empty group.
auto foldRecord(FleetState& state, std::string_view record) -> std::vector<OperationResult>;

} // namespace hemlockvane
