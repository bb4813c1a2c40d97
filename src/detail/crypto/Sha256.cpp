#include "hemlockvane/detail/crypto/Sha256.h"

#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t secretBytes = 32;

} // namespace

auto sha256(std::string_view bytes) -> std::string
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

auto toHex(std::string_view bytes) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4U]);
        text.push_back(digits[value & 15U]);
    }
    return text;
}

auto makeSecret() -> std::string
{
    std::array<unsigned char, secretBytes> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
}

} // namespace hemlockvane::detail
