#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Millicores in one core.
inline constexpr std::int64_t milliPerCore = 1000;

/// @brief An amount of a worker's resources.
struct ResourceSize {
    std::int64_t m_milliCores = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_accelerators = 0;
};

/// @brief True when `size` fits into `available`.
constexpr auto fits(const ResourceSize& size, const ResourceSize& available) -> bool
{
    return size.m_milliCores <= available.m_milliCores && size.m_memoryMb <= available.m_memoryMb
        && size.m_accelerators <= available.m_accelerators;
}

/// @brief Limits cores and memory of a size to a worker's capacity; accelerators are not limited.
constexpr auto clampTo(const ResourceSize& size, const ResourceSize& capacity) -> ResourceSize
{
    return { size.m_milliCores < capacity.m_milliCores ? size.m_milliCores : capacity.m_milliCores,
        size.m_memoryMb < capacity.m_memoryMb ? size.m_memoryMb : capacity.m_memoryMb, size.m_accelerators };
}

constexpr auto operator+(const ResourceSize& a, const ResourceSize& b) -> ResourceSize
{
    return { a.m_milliCores + b.m_milliCores, a.m_memoryMb + b.m_memoryMb, a.m_accelerators + b.m_accelerators };
}

constexpr auto operator-(const ResourceSize& a, const ResourceSize& b) -> ResourceSize
{
    return { a.m_milliCores - b.m_milliCores, a.m_memoryMb - b.m_memoryMb, a.m_accelerators - b.m_accelerators };
}

} // namespace hemlockvane
