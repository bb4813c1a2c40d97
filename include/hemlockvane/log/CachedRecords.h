#pragma once

#include "hemlockvane/log/RecordCache.h"

#include <cstddef>
#include <string_view>

namespace hemlockvane::wire {
class LogBatch;
} // namespace hemlockvane::wire

namespace hemlockvane {

/// @brief Keeps a folded record and drops the oldest ones beyond the bound.
///
/// A record that does not follow the last one empties the cache first.
auto cacheRecord(RecordCache& cache, Offset offset, std::string_view record) -> void;

/// @brief Fills the records from an offset on, at least one and at most about `maximumBytes`.
/// @result false when the first of them is not cached
auto fillCachedTail(const RecordCache& cache, Offset from, std::size_t maximumBytes, wire::LogBatch& batch) -> bool;

} // namespace hemlockvane
