#include "hemlockvane/maintenance/WaveRecord.h"

#include <algorithm>

namespace hemlockvane {

auto includesPool(const WaveRecord& wave, std::string_view pool) -> bool
{
    return wave.m_pools.empty() || std::find(wave.m_pools.begin(), wave.m_pools.end(), pool) != wave.m_pools.end();
}

} // namespace hemlockvane
