#pragma once

#include "hemlockvane/maintenance/DomainCount.h"
#include "hemlockvane/maintenance/FailureDomainLevel.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace hemlockvane {

/// @brief A pool's failure domains and how many instances it may miss.
struct FailureDomainBudget {
    std::map<std::string_view, DomainCount> m_domains; ///< Empty at level None.
    std::int64_t m_unavailable = 0;
    std::int64_t m_maxUnavailable = 0; ///< Instances that may be unavailable together.
};

/// @brief Instances that would be unavailable after the failure of the domain that costs most.
/// @complexity linear in the domains
auto worstCaseUnavailable(const FailureDomainBudget& cover) -> std::int64_t;

/// @brief True when one more drain in a domain stays allowed, also if the domain that costs most then fails.
/// @complexity linear in the domains
auto allowsDrain(const FailureDomainBudget& cover, std::string_view domain) -> bool;

/// @brief Counts one more instance of a domain as unavailable.
auto markUnavailable(FailureDomainBudget& cover, std::string_view domain) -> void;

} // namespace hemlockvane
