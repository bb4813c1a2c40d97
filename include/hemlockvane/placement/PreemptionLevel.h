#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Last preemption step sent for a task.
enum class PreemptionLevel : std::uint8_t { None, Throttled, Checkpointing, Stopping };

} // namespace hemlockvane
