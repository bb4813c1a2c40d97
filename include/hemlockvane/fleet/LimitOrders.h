#pragma once

#include <cstddef>

namespace hemlockvane::fleet {

/// @brief Number of further orders for machines that can be sent soon.
///
/// Orders wait for their turn at the service, and one that waits for too long isn't sent. What is planned beyond this
/// would be stored and planned again and again.
/// @param waiting orders that were placed and have no outcome yet
/// @param perSecond rate of the service; 0: unknown
[[nodiscard]] auto furtherOrders(std::size_t waiting, double perSecond) -> std::size_t;

} // namespace hemlockvane::fleet
