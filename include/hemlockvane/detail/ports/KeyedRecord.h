#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief A record of a keyed topic; an empty value deletes the key.
struct KeyedRecord {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_offset = 0;
};

/// @brief Encodes a keyed record: length of the key, key, value.
auto encodeKeyedRecord(std::string_view key, std::string_view value) -> std::string;

/// @brief Decodes a keyed record.
/// @result empty when the bytes are not a valid keyed record
auto decodeKeyedRecord(std::string_view bytes, std::uint64_t offset) -> std::optional<KeyedRecord>;

} // namespace hemlockvane::detail
