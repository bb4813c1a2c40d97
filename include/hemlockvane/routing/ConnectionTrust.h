#pragma once

#include "hemlockvane/routing/SilenceActions.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>

namespace hemlockvane {

/// @brief One entry's connections to one executor and when each last brought a byte.
struct ConnectionTrust {
    std::map<std::uint64_t, Instant> m_heardAt; ///< By connection id.
    Instant m_probeAfter; ///< No second probe before then.
};

/// @brief A connection was opened or brought a byte.
auto heardFrom(ConnectionTrust& trust, std::uint64_t connection, Instant now) -> void;

/// @brief A connection was closed.
auto forget(ConnectionTrust& trust, std::uint64_t connection) -> void;

/// @brief A request's time passed without a byte on its connection.
///
/// Closes it and every other connection that has brought nothing since the request was sent: whatever lost track of the
/// one may have lost the others. The executor is not blamed yet; the probe decides.
/// @param sentAt when the request was sent
auto silenceOn(ConnectionTrust& trust, std::uint64_t connection, Instant sentAt, Duration probeInterval, Instant now)
    -> SilenceActions;

} // namespace hemlockvane
