#include "hemlockvane/detail/coordinator/RulesVersion.h"

#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/Journal.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <system_error>

namespace hemlockvane::detail {

namespace {

constexpr Duration rulesValidity { 2000 }; // A replaced configuration may be in force for this long.

} // namespace

auto noteRulesVersion(CoordinatorState& state) -> void
{
    const auto version = state.m_scheduler.m_rules.m_version;
    if (version <= state.m_newestRulesVersion)
        return;
    state.m_newestRulesVersion = version;
    state.m_pendingRecords[rulesVersionKey] = std::to_string(version);
    state.m_journalSignal.notify();
}

auto restoreRulesVersion(CoordinatorState& state, std::string_view bytes) -> bool
{
    std::int64_t version = 0;
    const auto* end = bytes.data() + bytes.size();
    const auto result = std::from_chars(bytes.data(), end, version);
    if (result.ec != std::errc {} || result.ptr != end)
        return false;
    state.m_newestRulesVersion = std::max(state.m_newestRulesVersion, version);
    return true;
}

auto areRulesOutdated(const CoordinatorState& state) -> bool
{
    return state.m_scheduler.m_rules.m_version < state.m_newestRulesVersion;
}

auto updateRulesValidity(CoordinatorState& state, Instant now) -> void
{
    const auto& confirmedAt = state.m_ports.m_rulesConfirmedAt;
    const auto isConfirmed = !confirmedAt || now - confirmedAt() < rulesValidity;
    state.m_scheduler.m_mayFailJobs = state.m_isLoaded && isConfirmed && !areRulesOutdated(state);
}

} // namespace hemlockvane::detail
