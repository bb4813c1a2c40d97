#include "hemlockvane/detail/client/UuidV7.h"

#include <chrono>
#include <random>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t uuidBytes = 16;
constexpr std::size_t timestampBytes = 6;
constexpr unsigned bitsPerByte = 8;
constexpr std::size_t versionByte = 6;
constexpr std::size_t variantByte = 8;

auto hasHyphenBefore(std::size_t index) -> bool { return index == 4 || index == 6 || index == 8 || index == 10; }

} // namespace

auto formatUuidV7(WallMillis now, const UuidRandom& random) -> std::string
{
    constexpr const char* digits = "0123456789abcdef";
    std::array<std::uint8_t, uuidBytes> bytes {};
    for (std::size_t i = 0; i < timestampBytes; ++i)
        bytes[i] = static_cast<std::uint8_t>(now >> (bitsPerByte * (timestampBytes - 1 - i)));
    for (std::size_t i = 0; i < random.size(); ++i)
        bytes[timestampBytes + i] = random[i];
    bytes[versionByte] = static_cast<std::uint8_t>(0x70 | (bytes[versionByte] & 0x0f));
    bytes[variantByte] = static_cast<std::uint8_t>(0x80 | (bytes[variantByte] & 0x3f));
    std::string text;
    for (std::size_t i = 0; i < uuidBytes; ++i) {
        if (hasHyphenBefore(i))
            text.push_back('-');
        text.push_back(digits[bytes[i] >> 4]);
        text.push_back(digits[bytes[i] & 0x0f]);
    }
    return text;
}

auto makeUuidV7() -> std::string
{
    std::random_device source;
    UuidRandom random {};
    for (auto& byte : random)
        byte = static_cast<std::uint8_t>(source());
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return formatUuidV7(std::chrono::duration_cast<std::chrono::milliseconds>(now).count(), random);
}

} // namespace hemlockvane::detail
