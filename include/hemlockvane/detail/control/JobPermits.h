#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace hemlockvane::detail {

/// @brief Counts by team.
using TeamCounts = std::map<std::string, std::uint32_t, std::less<>>;

/// @brief How the control thread gets the permits of team limits for jobs; they are kept on the traffic thread.
struct JobPermits {
    /// Tells how many jobs wait by team and takes permits that are free in hand, at most as many.
    std::function<boost::asio::awaitable<TeamCounts>(TeamCounts waiting)> m_acquire;

    /// Gives one permit back: from `recordedAt` on the log counts the job; 0: the job does not run.
    std::function<void(const std::string& team, Offset recordedAt)> m_release;
};

} // namespace hemlockvane::detail
