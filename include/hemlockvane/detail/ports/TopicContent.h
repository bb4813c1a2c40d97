#pragma once

#include "hemlockvane/detail/ports/KeyedRecord.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

/// @brief Newest record of each key of a topic, and the offset at which to continue reading.
using TopicContent = std::pair<std::vector<KeyedRecord>, std::uint64_t>;

} // namespace hemlockvane::detail
