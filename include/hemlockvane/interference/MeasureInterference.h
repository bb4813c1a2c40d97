#pragma once

#include "hemlockvane/interference/InterferenceChange.h"
#include "hemlockvane/time/Time.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::interference {

struct InterferenceState;

/// @brief Adds one measurement of a task.
/// @param ratio latency as a share of the task's target, or duration as a share of its estimate
/// @param others other images with tasks on the same executor at that time
auto observe(InterferenceState& state, const std::string& affected, double ratio, std::span<const std::string> others,
    Instant now) -> void;

/// @brief Judges all pairs by the present evidence.
///
/// A pair is known once the mean with the other image beside is higher than without it by a tenth of the target, with a
/// confidence of 95 %; it is forgotten once the difference or the confidence falls well below that, or no evidence is
/// left. Pairs that are always or never together have no verdict.
/// @result what has changed since the last call
auto judge(InterferenceState& state, Instant now) -> std::vector<InterferenceChange>;

/// @brief Increase that two images are known to cause each other on one executor, the sum of both directions.
[[nodiscard]] auto knownHarm(const InterferenceState& state, std::string_view first, std::string_view second) -> double;

} // namespace hemlockvane::interference
