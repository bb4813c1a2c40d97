#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace hemlockvane::detail {

/// @brief Number of jobs or permits by team.
using TeamCounts = std::map<std::string, std::uint32_t, std::less<>>;

/// @brief Access of the control thread to the permits for running jobs under the teams' upper limits, which the traffic
/// thread holds.
struct JobPermits {
    /// Reports the number of waiting jobs of each team as demand, and acquires permits that are free on this entry, at
    /// most one for each waiting job.
    std::function<boost::asio::awaitable<TeamCounts>(TeamCounts waiting)> m_acquire;

    /// Releases one permit. `recordedAt` is the version from which on the fold counts the job as running; 0: the job
    /// was not placed.
    std::function<void(const std::string& team, Offset recordedAt)> m_release;
};

} // namespace hemlockvane::detail
