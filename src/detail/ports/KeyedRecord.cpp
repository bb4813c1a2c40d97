#include "hemlockvane/detail/ports/KeyedRecord.h"

namespace hemlockvane::detail {

auto encodeKeyedRecord(std::string_view key, std::string_view value) -> std::string
{
    std::string bytes;
    bytes.reserve(1 + key.size() + value.size());
    bytes.push_back(static_cast<char>(key.size()));
    bytes.append(key);
    bytes.append(value);
    return bytes;
}

auto decodeKeyedRecord(std::string_view bytes, std::uint64_t offset) -> std::optional<KeyedRecord>
{
    if (bytes.empty())
        return std::nullopt;
    const auto length = static_cast<unsigned char>(bytes.front());
    if (bytes.size() < 1U + length)
        return std::nullopt;
    return KeyedRecord { std::string(bytes.substr(1, length)), std::string(bytes.substr(1U + length)), offset };
}

} // namespace hemlockvane::detail
