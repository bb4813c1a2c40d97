#pragma once

#include <string>

namespace hemlockvane {

/// @brief An entry or executor in the computation of connection subsets.
struct SubsetMember {
    std::string m_id;
    std::string m_zone;
};

} // namespace hemlockvane
