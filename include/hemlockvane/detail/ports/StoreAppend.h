#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief Records to be appended to one topic, all or none.
struct StoreAppend {
    std::string m_topic;
    std::vector<std::string> m_records; ///< Whole records; those of keyed topics are made by `encodeKeyedRecord`.
    std::optional<std::uint64_t> m_expectedEnd; ///< Appended only while the topic ends there.
    std::string m_producer; ///< Empty: not fenced.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace hemlockvane::detail
