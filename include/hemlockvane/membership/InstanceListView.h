#pragma once

#include "hemlockvane/membership/ListedStatus.h"
#include "hemlockvane/time/Time.h"

#include <map>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief One answer of the platform's instance list. At the time of the request it may be outdated by up to the list's
/// lag.
struct InstanceListView {
    Instant m_requestedAt = Instant::min(); ///< Minimum if no list was received yet.
    std::map<std::string, ListedStatus, std::less<>> m_instances; ///< Entry instances by id.
};

/// @brief True when the list shows the instance as live or leaving.
auto isListed(const InstanceListView& view, std::string_view instance) -> bool;

/// @brief True when the list shows the instance as live.
auto isListedLive(const InstanceListView& view, std::string_view instance) -> bool;

} // namespace hemlockvane
