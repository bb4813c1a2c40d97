#include "hemlockvane/log/CachedRecords.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane {

auto cacheRecord(RecordCache& cache, Offset offset, std::string_view record) -> void
{
    if (offset != cache.m_firstOffset + cache.m_records.size()) {
        cache.m_records.clear();
        cache.m_bytes = 0;
    }
    if (cache.m_records.empty())
        cache.m_firstOffset = offset;
    cache.m_records.emplace_back(record);
    cache.m_bytes += record.size();
    while (cache.m_bytes > cache.m_maximumBytes) {
        cache.m_bytes -= cache.m_records.front().size();
        cache.m_records.pop_front();
        ++cache.m_firstOffset;
    }
}

auto fillCachedTail(const RecordCache& cache, Offset from, std::size_t maximumBytes, wire::LogBatch& batch) -> bool
{
    const auto end = cache.m_firstOffset + cache.m_records.size();
    if (from < cache.m_firstOffset || from >= end)
        return false;
    batch.set_first_offset(from);
    batch.set_oldest_offset(cache.m_firstOffset);
    batch.set_end_offset(end);
    std::size_t bytes = 0;
    for (auto offset = from; offset < end && (offset == from || bytes < maximumBytes); ++offset) {
        const auto& record = cache.m_records[offset - cache.m_firstOffset];
        batch.add_records(record);
        bytes += record.size();
    }
    return true;
}

} // namespace hemlockvane
