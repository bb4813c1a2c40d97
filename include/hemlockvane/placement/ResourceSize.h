#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Millicores of one core.
inline constexpr std::int64_t milliPerCore = 1000;

/// @brief An amount of a worker's resources.
struct ResourceSize {
    std::int64_t m_milliCores = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_accelerators = 0;
};

/// @brief True when `size` fits into `room`.
constexpr auto fits(const ResourceSize& size, const ResourceSize& room) -> bool
{
    return size.m_milliCores <= room.m_milliCores && size.m_memoryMb <= room.m_memoryMb
        && size.m_accelerators <= room.m_accelerators;
}

/// @brief The part of a size that a worker can give at all.
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
