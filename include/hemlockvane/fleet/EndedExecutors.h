#pragma once

#include "hemlockvane/fleet/Machine.h"

#include <span>
#include <string>
#include <vector>

namespace hemlockvane::fleet {

/// @brief Executors that the platform's lists show to be no more: their machine has another one, or is away.
///
/// An order's success does not show it: it is also told of an order that was carried out long before.
/// @param before an earlier list
/// @param now a list asked for after it
auto endedExecutors(std::span<const Machine> before, std::span<const Machine> now) -> std::vector<std::string>;

} // namespace hemlockvane::fleet
