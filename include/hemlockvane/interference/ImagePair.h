#pragma once

#include <string>
#include <tuple>

namespace hemlockvane::interference {

/// @brief An image and another one whose tasks may slow its tasks down on the same executor.
struct ImagePair {
    std::string m_affected;
    std::string m_other;

    auto operator<(const ImagePair& pair) const -> bool
    {
        return std::tie(m_affected, m_other) < std::tie(pair.m_affected, pair.m_other);
    }
};

} // namespace hemlockvane::interference
