#pragma once

#include "hemlockvane/membership/DutyCounts.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Duties that exist once in the fleet.
inline constexpr std::string_view placementDuty = "placement";
inline constexpr std::string_view maintenanceDuty = "maintenance";
inline constexpr std::string_view snapshotsDuty = "snapshots";

/// @brief Name of a claims duty, "claims/<slot>".
auto claimsDuty(std::uint32_t slot) -> std::string;

/// @brief Name of an escrow duty, "escrow/<slot>".
auto escrowDuty(std::uint32_t slot) -> std::string;

/// @brief Every duty, in a fixed order.
auto dutyNames(const DutyCounts& counts) -> std::vector<std::string>;

/// @brief Rank of a candidate in the rendezvous hashing order of a subject: 0 for the first choice.
///
/// Each subject has its own order, so the duties of a lost entry are spread over all others. The first choice of a
/// subject changes only when that candidate leaves or a candidate that ranks before it joins.
/// @complexity linear in the candidates
auto rendezvousRank(std::string_view subject, std::span<const std::string> candidates, std::string_view candidate)
    -> std::size_t;

} // namespace hemlockvane
