#pragma once

#include "hemlockvane/log/RecordCache.h"

#include <cstddef>
#include <string_view>

namespace hemlockvane::wire {
class LogBatch;
} // namespace hemlockvane::wire

namespace hemlockvane {

/// @brief Adds a folded record and evicts the oldest records above the byte limit.
///
/// A record that does not directly follow the last cached one empties the cache first.
auto cacheRecord(RecordCache& cache, Offset offset, std::string_view record) -> void;

/// @brief Fills a batch with the cached records from an offset on.
/// @param maximumBytes no further record is added once the batch has this many bytes; the first one always is
/// @result false when the record at `from` is not cached
auto fillCachedTail(const RecordCache& cache, Offset from, std::size_t maximumBytes, wire::LogBatch& batch) -> bool;

} // namespace hemlockvane
