#include "hemlockvane/detail/coordinator/TakeoverDelay.h"

namespace hemlockvane::detail {

namespace {

// An owner of 349 executors needs up to 0.14 cores; the rest is reserve for larger fleets.
constexpr double minimumCores = 0.2;
constexpr double minimumLinkMbps = 50; // Enough to read 3 MB of stored state within half a second.
// A larger instance needs up to 0.5 s each for a read and an append with a slow store.
constexpr Duration delay { 1000 };

} // namespace

auto takeoverDelay(double cores, double linkMbps) -> Duration
{
    const auto hasFewCores = cores > 0 && cores < minimumCores;
    const auto hasSlowLink = linkMbps > 0 && linkMbps < minimumLinkMbps;
    return hasFewCores || hasSlowLink ? delay : Duration { 0 };
}

} // namespace hemlockvane::detail
