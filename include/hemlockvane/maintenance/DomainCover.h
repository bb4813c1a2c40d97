#pragma once

#include "hemlockvane/maintenance/CoverLevel.h"
#include "hemlockvane/maintenance/DomainCount.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace hemlockvane {

/// @brief A pool's failure domains and how many instances it may miss.
struct DomainCover {
    std::map<std::string_view, DomainCount> m_domains; ///< Empty at level None.
    std::int64_t m_taken = 0;
    std::int64_t m_allowed = 0; ///< Instances that may be unavailable together.
};

/// @brief Instances that would be unavailable after the failure of the domain that costs most.
/// @complexity linear in the domains
auto worstCase(const DomainCover& cover) -> std::int64_t;

/// @brief True when one more drain in a domain stays allowed, also if the domain that costs most then fails.
/// @complexity linear in the domains
auto mayTake(const DomainCover& cover, std::string_view domain) -> bool;

/// @brief Counts one more instance of a domain as unavailable.
auto take(DomainCover& cover, std::string_view domain) -> void;

} // namespace hemlockvane
