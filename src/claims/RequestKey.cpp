#include "hemlockvane/claims/RequestKey.h"

#include "hemlockvane/claims/ClaimKey.h"
#include "hemlockvane/log/Snapshot.h"

#include <array>

namespace hemlockvane {

namespace {

constexpr std::size_t keyLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;
constexpr std::array<std::size_t, 4> dashPositions { 8, 13, 18, 23 };
constexpr std::size_t stampDigits = 12;
constexpr int bitsPerDigit = 4;
constexpr int decimalDigits = 10;

auto digitValue(char c) -> int
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + decimalDigits;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + decimalDigits;
    return -1;
}

auto isDashPosition(std::size_t position) -> bool
{
    for (const auto dash : dashPositions) {
        if (dash == position)
            return true;
    }
    return false;
}

// Lower-case form of a character, or 0 if it is not allowed at the position.
auto normalised(char c, std::size_t position) -> char
{
    if (isDashPosition(position))
        return c == '-' ? c : '\0';
    const auto value = digitValue(c);
    if (value < 0)
        return '\0';
    return "0123456789abcdef"[value];
}

auto isVersion7(std::string_view text) -> bool
{
    constexpr int variantMask = 0xc;
    constexpr int variantBits = 0x8;
    return text[versionPosition] == '7' && (digitValue(text[variantPosition]) & variantMask) == variantBits;
}

auto stampOf(std::string_view text) -> WallMillis
{
    WallMillis stamp = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; digits < stampDigits; ++i) {
        if (isDashPosition(i))
            continue;
        stamp = (stamp << bitsPerDigit) | digitValue(text[i]);
        ++digits;
    }
    return stamp;
}

} // namespace

auto parseRequestKey(std::string_view text, FailureReason& reason) -> std::optional<RequestKey>
{
    if (text.size() != keyLength)
        return fail(reason, ErrorKind::BadRequest, "an Idempotency-Key is a UUIDv7 of 36 characters");
    RequestKey key;
    key.m_text.reserve(keyLength);
    for (std::size_t i = 0; i < keyLength; ++i) {
        const auto c = normalised(text[i], i);
        if (c == '\0')
            return fail(reason, ErrorKind::BadRequest, "an Idempotency-Key is a UUIDv7 of hexadecimal digits");
        key.m_text.push_back(c);
    }
    if (!isVersion7(key.m_text))
        return fail(reason, ErrorKind::BadRequest, "an Idempotency-Key is a UUID of version 7");
    key.m_stampedAt = stampOf(key.m_text);
    return key;
}

auto claimSlot(const ClaimKey& key, std::size_t slots) -> std::size_t
{
    return hashBytes(key.m_key, hashBytes(key.m_team)) % slots;
}

auto claimDuty(std::size_t slot) -> std::string { return "claims/" + std::to_string(slot); }

} // namespace hemlockvane
