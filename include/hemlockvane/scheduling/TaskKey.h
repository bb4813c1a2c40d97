#pragma once

#include "hemlockvane/scheduling/JobSpec.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace hemlockvane::scheduling {

/// @brief Identifies one task: job, occurrence, step and index.
struct TaskKey {
    JobId m_job = 0;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    auto operator<=>(const TaskKey&) const = default;
};

} // namespace hemlockvane::scheduling

template <> struct std::hash<hemlockvane::scheduling::TaskKey> {
    auto operator()(const hemlockvane::scheduling::TaskKey& key) const noexcept -> std::size_t
    {
        constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15ULL;
        auto value = key.m_job;
        value = (value ^ key.m_occurrence) * mixer;
        value = (value ^ key.m_step) * mixer;
        return static_cast<std::size_t>((value ^ key.m_index) * mixer);
    }
};
