#pragma once

#include "hemlockvane/log/OperationResult.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlockvane {

/// @brief Number of latest operations whose ids are kept to reject an operation that is appended twice.
inline constexpr std::size_t operationWindowSize = 65536;

/// @brief Results of the latest operations by id.
struct OperationWindow {
    std::unordered_map<std::string, OperationResult> m_results;
    std::deque<std::string> m_order; ///< Oldest first.
};

/// @brief Finds the result of an operation by its id.
/// @result null when the window does not contain the operation
auto findResult(const OperationWindow& window, std::string_view id) -> const OperationResult*;

/// @brief Adds a result and removes the oldest one when the window is full.
auto addResult(OperationWindow& window, OperationResult result) -> void;

} // namespace hemlockvane
