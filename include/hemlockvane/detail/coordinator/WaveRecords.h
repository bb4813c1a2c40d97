#pragma once

#include "hemlockvane/fleet/WaveState.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief First character of the key of a wave's progress, before its number.
inline constexpr char wavePrefix = 'w';

auto encodeWave(const fleet::WaveState& wave) -> std::string;

/// @brief Progress of a wave; its order is what the operators wrote.
auto decodeWave(std::string_view bytes) -> std::optional<fleet::WaveState>;

} // namespace hemlockvane::detail
