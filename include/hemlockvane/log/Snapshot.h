#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FleetState.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief Serialises a state. Equal states give equal bytes.
/// @complexity linear in the state
auto saveSnapshot(const FleetState& state) -> std::string;

/// @brief Restores a state from the bytes of saveSnapshot.
/// @param reason receives BadRequest when the bytes cannot be decoded, Internal when their format is newer
/// @result empty on error
auto loadSnapshot(std::string_view bytes, FailureReason& reason) -> std::optional<FleetState>;

/// @brief 64-bit FNV-1a hash, used for snapshots and the chain hash of the fold.
/// @param seed by default the offset basis of FNV-1a
auto hashBytes(std::string_view bytes, std::uint64_t seed = 14695981039346656037ULL) -> std::uint64_t;

} // namespace hemlockvane
