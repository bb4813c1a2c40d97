#pragma once

#include "hemlockvane/fleet/Machine.h"

#include <span>
#include <string>
#include <vector>

namespace hemlockvane::fleet {

/// @brief Executors that have ended according to the platform's machine lists: their machine now has another executor,
/// or is moving or under upkeep.
///
/// The success of an order is no evidence for this, because the platform also answers success to a repeated order that
/// it carried out long before.
/// @param before an earlier list of machines
/// @param now a list that was requested after it
/// @result ids of the ended executors
auto endedExecutors(std::span<const Machine> before, std::span<const Machine> now) -> std::vector<std::string>;

} // namespace hemlockvane::fleet
