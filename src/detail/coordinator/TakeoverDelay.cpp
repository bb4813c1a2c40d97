#include "hemlockvane/detail/coordinator/TakeoverDelay.h"

namespace hemlockvane::detail {

namespace {

constexpr double leastCores = 0.2; // An owner of 349 executors peaked at 0.14 cores; half of that again for more.
constexpr double leastLinkMbps = 50; // Reads 3 MB of stored state within half a second.
constexpr Duration handicap { 1000 }; // A larger instance's read and append take up to 0.5 s each with a slow store.

} // namespace

auto takeoverDelay(double cores, double linkMbps) -> Duration
{
    const auto isSlow = cores > 0 && cores < leastCores;
    const auto isNarrow = linkMbps > 0 && linkMbps < leastLinkMbps;
    return isSlow || isNarrow ? handicap : Duration { 0 };
}

} // namespace hemlockvane::detail
