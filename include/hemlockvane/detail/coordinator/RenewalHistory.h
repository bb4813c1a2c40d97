#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace hemlockvane::detail {

/// @brief Times at which this instance read the records of the owner's topic. They bound the age of an earlier owner's
/// actions without comparing clocks of instances.
struct RenewalHistory {
    std::deque<std::pair<std::uint64_t, Instant>> m_readTimes; ///< Offsets and read times of the last seconds.
};

auto recordRenewal(RenewalHistory& renewals, std::uint64_t offset, Instant now) -> void;

/// @result upper bound of the time at which the record at `offset` was written: when it or a later one was first read;
/// `now` when neither was read
[[nodiscard]] auto writtenBy(const RenewalHistory& renewals, std::uint64_t offset, Instant now) -> Instant;

} // namespace hemlockvane::detail
