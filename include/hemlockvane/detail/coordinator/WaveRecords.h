#pragma once

#include "hemlockvane/fleet/WaveState.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief First character of the key of a wave's progress; the wave's number follows.
inline constexpr char wavePrefix = 'w';

auto encodeWave(const fleet::WaveState& wave) -> std::string;

/// @brief Decodes the progress of a wave. Of its order only the number is set: the rest is in the operators' record.
auto decodeWave(std::string_view bytes) -> std::optional<fleet::WaveState>;

} // namespace hemlockvane::detail
