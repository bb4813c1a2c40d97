#pragma once

#include "hemlockvane/log/OperationResult.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlockvane {

/// @brief Operations whose ids are remembered to reject a repeated append.
inline constexpr std::size_t operationWindowSize = 65536;

/// @brief Results of the latest operations by id.
struct OperationWindow {
    std::unordered_map<std::string, OperationResult> m_results;
    std::deque<std::string> m_order; ///< Oldest first.
};

/// @brief Result of an operation still in the window.
/// @result null when unknown
auto findResult(const OperationWindow& window, std::string_view id) -> const OperationResult*;

/// @brief Remembers a result and forgets the oldest beyond the window.
auto addResult(OperationWindow& window, OperationResult result) -> void;

} // namespace hemlockvane
