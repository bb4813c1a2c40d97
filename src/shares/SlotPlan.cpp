#include "hemlockvane/shares/SlotPlan.h"

#include "hemlockvane/shares/FairShares.h"

#include <algorithm>
#include <numeric>

namespace hemlockvane {

namespace {

constexpr double milli = 1000;

// One team's demand and share, summed over all entries.
struct FleetDemand {
    double m_demand = 0;
    double m_share = 0;
};

using FleetDemands = std::map<std::string_view, FleetDemand>;

auto weightOf(const std::map<std::string, double, std::less<>>& weights, std::string_view team) -> double
{
    const auto found = weights.find(team);
    return found == weights.end() ? 1 : found->second;
}

auto fleetShares(std::span<const SlotEntry> entries, const std::map<std::string, double, std::less<>>& weights,
    double capacity) -> FleetDemands
{
    FleetDemands teams;
    for (const auto& entry : entries) {
        for (const auto& demand : entry.m_teams)
            teams[demand.m_team].m_demand += demand.m_demand;
    }
    std::vector<Demand> demands;
    for (const auto& [name, team] : teams)
        demands.push_back({ weightOf(weights, name), team.m_demand });
    const auto shares = fairShares(demands, capacity);
    std::size_t i = 0;
    for (auto& [name, team] : teams)
        team.m_share = shares[i++];
    return teams;
}

// Divides each team's share among the entries in proportion to its demand there.
auto divideShares(std::span<const SlotEntry> entries, const FleetDemands& teams, SlotPlan& plan) -> void
{
    for (const auto& entry : entries) {
        auto entitlement = 0.0;
        auto& shares = plan.m_shares[entry.m_instance];
        for (const auto& demand : entry.m_teams) {
            const auto& team = teams.find(demand.m_team)->second;
            const auto share = team.m_demand > 0 ? team.m_share * demand.m_demand / team.m_demand : 0;
            shares.push_back({ demand.m_team, static_cast<std::uint32_t>(share * milli) });
            entitlement += share;
        }
        plan.m_entitlement.push_back(entitlement);
    }
}

auto spreadSpare(SlotPlan& plan, double capacity) -> void
{
    const auto used = std::accumulate(plan.m_entitlement.begin(), plan.m_entitlement.end(), 0.0);
    const auto spare = std::max(0.0, capacity - used) / static_cast<double>(plan.m_entitlement.size());
    for (auto& entitlement : plan.m_entitlement)
        entitlement += spare;
}

// Slots by executor (rows) and entry (columns) during the assignment.
struct Assignment {
    std::span<const SlotEntry> m_entries;
    std::span<const SlotExecutor> m_executors;
    std::vector<std::vector<std::uint32_t>> m_slots;
    std::vector<std::uint32_t> m_freeSlots; // Free slots by executor.
    std::vector<std::int64_t> m_missing; // Missing slots by entry; below 0 if the entry has too many.
};

auto maximumSlots(const SlotEntry& entry, const SlotExecutor& executor) -> std::uint32_t
{
    const auto found = entry.m_connections.find(executor.m_executor);
    return found == entry.m_connections.end() ? 0 : std::min(found->second, executor.m_slots);
}

auto heldAt(const SlotEntry& entry, std::string_view executor) -> std::uint32_t
{
    const auto found = entry.m_held.find(executor);
    return found == entry.m_held.end() ? 0 : found->second;
}

// Starts with the slots that the entries have now, limited by the slots of each executor.
auto keepHeldSlots(std::span<const SlotEntry> entries, std::span<const SlotExecutor> executors,
    std::span<const std::uint32_t> targetSlots) -> Assignment
{
    Assignment result { entries, executors, {}, {}, { targetSlots.begin(), targetSlots.end() } };
    for (const auto& executor : executors) {
        auto freeSlots = executor.m_slots;
        auto& row = result.m_slots.emplace_back();
        for (std::size_t e = 0; e < entries.size(); ++e) {
            const auto held = heldAt(entries[e], executor.m_executor);
            const auto kept = std::min({ held, maximumSlots(entries[e], executor), freeSlots });
            row.push_back(kept);
            freeSlots -= kept;
            result.m_missing[e] -= kept;
        }
        result.m_freeSlots.push_back(freeSlots);
    }
    return result;
}

// Removes an entry's surplus slots, those in other zones first.
auto dropSurplus(Assignment& state, std::size_t e) -> void
{
    for (const auto sameZone : { false, true }) {
        for (std::size_t x = 0; x < state.m_executors.size() && state.m_missing[e] < 0; ++x) {
            if ((state.m_executors[x].m_zone == state.m_entries[e].m_zone) != sameZone)
                continue;
            const auto drop = std::min<std::int64_t>(-state.m_missing[e], state.m_slots[x][e]);
            state.m_slots[x][e] -= static_cast<std::uint32_t>(drop);
            state.m_freeSlots[x] += static_cast<std::uint32_t>(drop);
            state.m_missing[e] += drop;
        }
    }
}

// Assigns one more slot to an entry, at the executor with the most free slots; executors in its own zone are preferred.
auto addSlot(Assignment& state, std::size_t e) -> bool
{
    auto best = state.m_executors.size();
    auto bestRank = 0U;
    for (std::size_t x = 0; x < state.m_executors.size(); ++x) {
        const auto& executor = state.m_executors[x];
        if (state.m_freeSlots[x] == 0 || state.m_slots[x][e] >= maximumSlots(state.m_entries[e], executor))
            continue;
        const auto sameZone = executor.m_zone == state.m_entries[e].m_zone;
        const auto rank = state.m_freeSlots[x] + (sameZone ? executor.m_slots : 0);
        if (rank > bestRank) {
            best = x;
            bestRank = rank;
        }
    }
    if (best == state.m_executors.size())
        return false;
    ++state.m_slots[best][e];
    --state.m_freeSlots[best];
    --state.m_missing[e];
    return true;
}

auto fillMissing(Assignment& state) -> void
{
    auto added = true;
    while (added) {
        added = false;
        for (std::size_t e = 0; e < state.m_entries.size(); ++e) {
            if (state.m_missing[e] > 0)
                added = addSlot(state, e) || added;
        }
    }
}

} // namespace

auto planSlots(std::span<const SlotEntry> entries, std::span<const SlotExecutor> executors,
    const std::map<std::string, double, std::less<>>& weights, std::span<const double> credits) -> SlotPlan
{
    SlotPlan plan;
    if (entries.empty())
        return plan;
    auto capacity = 0.0;
    for (const auto& executor : executors)
        capacity += executor.m_slots;
    divideShares(entries, fleetShares(entries, weights, capacity), plan);
    spreadSpare(plan, capacity);
    const auto targetSlots = apportion(plan.m_entitlement, credits);
    auto assignment = keepHeldSlots(entries, executors, targetSlots);
    for (std::size_t e = 0; e < entries.size(); ++e)
        dropSurplus(assignment, e);
    fillMissing(assignment);
    for (std::size_t x = 0; x < executors.size(); ++x) {
        auto& targets = plan.m_targets[executors[x].m_executor];
        for (std::size_t e = 0; e < entries.size(); ++e)
            targets[entries[e].m_instance] = assignment.m_slots[x][e];
    }
    return plan;
}

} // namespace hemlockvane
