#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief Records to be appended atomically to one topic.
struct StoreAppend {
    std::string m_topic;
    std::vector<std::string> m_records; ///< Encoded records; those of keyed topics are made by `encodeKeyedRecord`.
    std::optional<std::uint64_t> m_expectedEnd; ///< Append only if the topic ends at this offset.
    std::string m_producer; ///< Name under which the append is fenced; empty: not fenced.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace hemlockvane::detail
