#include "hemlockvane/pools/PoolState.h"

namespace hemlockvane {

namespace {

auto countIn(const std::map<std::string, std::uint32_t, std::less<>>& counts, std::string_view pool) -> std::uint32_t
{
    const auto found = counts.find(pool);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

auto unavailableIn(const PoolState& state, std::string_view pool) -> std::uint32_t
{
    return countIn(state.m_unavailableByPool, pool);
}

auto sizeOf(const PoolState& state, std::string_view pool) -> std::uint32_t
{
    return countIn(state.m_sizeByPool, pool);
}

auto isUnavailable(const InstanceRecord& instance) -> bool
{
    return !instance.m_available || !instance.m_drainingFor.empty();
}

auto countInstance(PoolState& state, const InstanceRecord& instance) -> void
{
    ++state.m_sizeByPool[instance.m_pool];
    if (isUnavailable(instance))
        ++state.m_unavailableByPool[instance.m_pool];
}

auto uncountInstance(PoolState& state, const InstanceRecord& instance) -> void
{
    --state.m_sizeByPool[instance.m_pool];
    if (isUnavailable(instance))
        --state.m_unavailableByPool[instance.m_pool];
}

} // namespace hemlockvane
