#include "hemlockvane/detail/program/MapLargeBlocks.h"

#include <cstdlib>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace hemlockvane::detail {

auto mapLargeBlocks() -> void
{
#ifdef __GLIBC__
    // Without a fixed threshold, glibc raises it to the largest block that was freed. Later blocks then come from the
    // heap of their thread, which keeps the gaps between them.
    constexpr int thresholdBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, thresholdBytes);
#endif
}

} // namespace hemlockvane::detail
