#pragma once

#include "hemlockvane/maintenance/DomainCount.h"
#include "hemlockvane/maintenance/FailureDomainLevel.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace hemlockvane {

/// @brief Unavailable instances of a pool by failure domain, and the maximum that may be unavailable.
struct FailureDomainBudget {
    std::map<std::string_view, DomainCount> m_domains; ///< Empty at FailureDomainLevel::None.
    std::int64_t m_unavailable = 0;
    std::int64_t m_maxUnavailable = 0; ///< Maximum number of instances that may be unavailable at a time.
};

/// @brief Number of unavailable instances after the failure of the domain with the most available instances.
/// @complexity linear in the domains
auto worstCaseUnavailable(const FailureDomainBudget& budget) -> std::int64_t;

/// @brief True when one more drain in a domain keeps the budget, even if any one domain then fails as a whole.
/// @complexity linear in the domains
auto allowsDrain(const FailureDomainBudget& budget, std::string_view domain) -> bool;

/// @brief Counts one more unavailable instance in a domain.
auto markUnavailable(FailureDomainBudget& budget, std::string_view domain) -> void;

} // namespace hemlockvane
