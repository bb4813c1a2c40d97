#include "hemlockvane/membership/MembershipState.h"

namespace hemlockvane {

auto isMember(const MembershipState& state, std::string_view instance) -> bool
{
    const auto found = state.m_entries.find(instance);
    return found != state.m_entries.end() && found->second.m_removedAt == 0;
}

auto forgetRemovedEntries(MembershipState& state, WallMillis clock) -> void
{
    while (!state.m_removed.empty() && state.m_removed.begin()->first < clock - removedEntryKeepMs) {
        state.m_entries.erase(state.m_removed.begin()->second);
        state.m_removed.erase(state.m_removed.begin());
    }
}

auto isFenceValid(const MembershipState& state, std::string_view duty, Offset epoch) -> bool
{
    const auto found = state.m_duties.find(duty);
    if (found == state.m_duties.end() || found->second.m_holder.empty())
        return false;
    return found->second.m_epoch == epoch && isMember(state, found->second.m_holder);
}

} // namespace hemlockvane
