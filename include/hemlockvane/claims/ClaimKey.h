#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <tuple>

namespace hemlockvane {

/// @brief Identifies a request that must not run twice. A key is unique within its team.
struct ClaimKey {
    std::string m_team;
    std::string m_key; ///< Idempotency-Key in lower case, a UUIDv7.

    auto operator==(const ClaimKey&) const -> bool = default;
    auto operator<(const ClaimKey& other) const -> bool
    {
        return std::tie(m_team, m_key) < std::tie(other.m_team, other.m_key);
    }
};

} // namespace hemlockvane

template <> struct std::hash<hemlockvane::ClaimKey> {
    auto operator()(const hemlockvane::ClaimKey& key) const noexcept -> std::size_t
    {
        constexpr std::size_t multiplier = 31;
        return std::hash<std::string> {}(key.m_team) * multiplier ^ std::hash<std::string> {}(key.m_key);
    }
};
