#pragma once

#include "hemlockvane/detail/coordinator/StoredExecutor.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/scheduling/TaskKey.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Formats a job id as sixteen hexadecimal digits.
auto jobIdText(scheduling::JobId id) -> std::string;

/// @brief Parses sixteen hexadecimal digits.
/// @result empty for anything else
auto parseJobId(std::string_view text) -> std::optional<scheduling::JobId>;

/// @brief Formats job, occurrence and step, separated by dots.
auto stepText(const scheduling::TaskKey& key) -> std::string;

/// @brief Formats job, occurrence, step and index, separated by dots.
auto taskText(const scheduling::TaskKey& key) -> std::string;

auto encodeProgress(const scheduling::JobProgress& progress) -> std::string;
auto decodeProgress(scheduling::JobId id, std::string_view bytes) -> std::optional<scheduling::JobProgress>;

auto encodeExecutor(const StoredExecutor& executor) -> std::string;
auto decodeExecutor(std::string_view bytes) -> std::optional<StoredExecutor>;

} // namespace hemlockvane::detail
