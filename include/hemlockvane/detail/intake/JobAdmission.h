#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane::detail {

/// @brief Jobs that this instance has admitted since the owner last told how much memory it has left, in bytes.
struct JobAdmission {
    std::uint64_t m_renewal = 0; ///< Offset of the owner's record that told it.
    std::size_t m_total = 0;
    std::map<std::string, std::size_t> m_byWorkspace;
};

} // namespace hemlockvane::detail
