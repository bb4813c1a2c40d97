#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace hemlockvane::detail {

/// @brief When this instance read each record of the owner's topic; tells the age of what an earlier owner did without
/// comparing clocks.
struct RenewalHistory {
    std::deque<std::pair<std::uint64_t, Instant>> m_readTimes; ///< Offset and time, the last seconds of them.
};

auto recordRenewal(RenewalHistory& renewals, std::uint64_t offset, Instant now) -> void;

/// @result a time at which the record of this offset had been written: the first reading of it or of a later one;
/// `now` when none was read
[[nodiscard]] auto writtenBy(const RenewalHistory& renewals, std::uint64_t offset, Instant now) -> Instant;

} // namespace hemlockvane::detail
