#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Amounts of processor, memory and accelerators.
struct Resources {
    std::int64_t m_cpuMilliCores = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_gpus = 0;

    auto operator==(const Resources&) const -> bool = default;
};

/// @brief Whether `used` and `need` together stay within `capacity`.
[[nodiscard]] constexpr auto fitsWithin(const Resources& need, const Resources& used, const Resources& capacity) -> bool
{
    return used.m_cpuMilliCores + need.m_cpuMilliCores <= capacity.m_cpuMilliCores
        && used.m_memoryMb + need.m_memoryMb <= capacity.m_memoryMb && used.m_gpus + need.m_gpus <= capacity.m_gpus;
}

constexpr auto addTo(Resources& sum, const Resources& part) -> void
{
    sum.m_cpuMilliCores += part.m_cpuMilliCores;
    sum.m_memoryMb += part.m_memoryMb;
    sum.m_gpus += part.m_gpus;
}

constexpr auto subtractFrom(Resources& sum, const Resources& part) -> void
{
    sum.m_cpuMilliCores -= part.m_cpuMilliCores;
    sum.m_memoryMb -= part.m_memoryMb;
    sum.m_gpus -= part.m_gpus;
}

} // namespace hemlockvane::scheduling
