#include "hemlockvane/fleet/LimitOrders.h"

#include <algorithm>
#include <limits>

namespace hemlockvane::fleet {

namespace {

constexpr double secondsAhead = 0.3;
constexpr std::size_t fewestAhead = 4;

} // namespace

auto furtherOrders(std::size_t waiting, double perSecond) -> std::size_t
{
    if (perSecond <= 0)
        return std::numeric_limits<std::size_t>::max();
    const auto ahead = std::max(static_cast<std::size_t>(perSecond * secondsAhead), fewestAhead);
    return ahead > waiting ? ahead - waiting : 0;
}

} // namespace hemlockvane::fleet
