#include "hemlockvane/shares/SlotBalancer.h"

#include "hemlockvane/limits/EscrowHolder.h"
#include "hemlockvane/limits/EscrowResource.h"
#include "hemlockvane/shares/SlotPlan.h"

#include <algorithm>
#include <vector>

namespace hemlockvane {

namespace {

// Slots. Limits how long an entry is compensated for a past shortage.
constexpr double maximumCredit = 2;
// Seconds after which a missing slot has become one slot of credit.
constexpr double creditSeconds = 0.5;

auto heldBy(const EscrowHolder& holder, std::string_view service, std::span<const SlotExecutor> executors,
    std::string_view instance) -> std::map<std::string, std::uint32_t, std::less<>>
{
    std::map<std::string, std::uint32_t, std::less<>> held;
    for (const auto& executor : executors) {
        const auto* ledgers = ledgersOf(holder, executorSlotsResource(service, executor.m_executor));
        if (ledgers == nullptr)
            continue;
        const auto found = ledgers->find(instance);
        if (found != ledgers->end())
            held[executor.m_executor] = permitsCharged(found->second);
    }
    return held;
}

auto heldTotal(const SlotEntry& entry) -> double
{
    auto sum = 0.0;
    for (const auto& [executor, slots] : entry.m_held)
        sum += slots;
    return sum;
}

auto updateCredits(SlotBalancer& balancer, std::span<const SlotEntry> entries, const SlotPlan& plan, Instant now)
    -> void
{
    const auto seconds = std::min(1.0, std::chrono::duration<double>(now - balancer.m_plannedAt).count());
    std::map<std::string, double, std::less<>> credits;
    for (std::size_t e = 0; e < entries.size(); ++e) {
        const auto missing = (plan.m_entitlement[e] - heldTotal(entries[e])) * seconds / creditSeconds;
        const auto credit = balancer.m_credits[entries[e].m_instance] + missing;
        credits[entries[e].m_instance] = std::clamp(credit, -maximumCredit, maximumCredit);
    }
    balancer.m_credits = std::move(credits);
}

} // namespace

auto balanceSlots(SlotBalancer& balancer, EscrowHolder& holder, std::span<const SlotExecutor> executors,
    const std::map<std::string, double, std::less<>>& weights,
    const std::map<std::string, std::string, std::less<>>& zones,
    const std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>>& connections,
    Instant now) -> bool
{
    if (now - balancer.m_plannedAt < balancer.m_period)
        return false;
    const auto demandResource = serviceDemandResource(balancer.m_service);
    const auto* demands = ledgersOf(holder, demandResource);
    if (demands == nullptr)
        return false;
    std::vector<SlotEntry> entries;
    std::vector<double> credits;
    for (const auto& [instance, ledger] : *demands) {
        const auto zone = zones.find(instance);
        const auto allowed = connections.find(instance);
        if (zone == zones.end() || allowed == connections.end())
            continue;
        entries.push_back({ instance, zone->second, ledger.m_teams,
            heldBy(holder, balancer.m_service, executors, instance), allowed->second });
        credits.push_back(balancer.m_credits[instance]);
    }
    const auto plan = planSlots(entries, executors, weights, credits);
    updateCredits(balancer, entries, plan, now);
    balancer.m_plannedAt = now;
    for (const auto& [executor, targets] : plan.m_targets)
        setTargets(holder, executorSlotsResource(balancer.m_service, executor), targets);
    setShares(holder, demandResource, plan.m_shares);
    return true;
}

} // namespace hemlockvane
