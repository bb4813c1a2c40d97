#pragma once

#include <compare>
#include <string>

namespace hemlockvane::interference {

/// @brief An image and another one whose tasks may slow its tasks down on the same executor.
struct ImagePair {
    std::string m_affected;
    std::string m_other;

    auto operator<=>(const ImagePair&) const = default;
};

} // namespace hemlockvane::interference
