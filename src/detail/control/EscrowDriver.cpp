#include "hemlockvane/detail/control/EscrowDriver.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/limits/EscrowMessage.h"
#include "hemlockvane/limits/EscrowResource.h"
#include "hemlockvane/membership/Vouch.h"
#include "hemlockvane/routing/ConnectionSubset.h"
#include "hemlockvane/shares/SlotExecutor.h"

#include "hemlockvane/peers.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration busyInterval { 5 };
constexpr Duration idleInterval { 25 };
constexpr Duration recountInterval { 100 };
constexpr Duration recordClockSkew { 10000 }; // Allowed between the clocks of a record's author and this instance.

using Connections = std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>>;

// Latest possible time of the removal of an entry that the holder never had as a member. It follows from the time stamp
// of the removal's record.
auto removalTime(const EscrowDriver& driver, const EntryRecord& entry) -> Instant
{
    const auto age = Duration { wallNow() - entry.m_removedAtMs } - recordClockSkew;
    return monotonicNow() - std::clamp(age, Duration::zero(), driver.m_holder.m_timing.m_removalGrace);
}

auto updateMembers(EscrowDriver& driver) -> void
{
    const auto& membership = driver.m_core.m_state.m_membership;
    if (driver.m_lastMembershipVersion == membership.m_version)
        return;
    driver.m_lastMembershipVersion = membership.m_version;
    for (const auto& [id, entry] : membership.m_entries) {
        const auto isHolderMember = driver.m_holder.m_members.contains(id);
        if (entry.m_removedAt == 0 && !isHolderMember)
            memberJoined(driver.m_holder, id, entry.m_joinedAt);
        if (entry.m_removedAt != 0 && isHolderMember)
            memberRemoved(driver.m_holder, id, entry.m_planned, monotonicNow());
        if (entry.m_removedAt != 0 && !isHolderMember)
            memberRemoved(driver.m_holder, id, entry.m_planned, removalTime(driver, entry));
    }
    for (const auto& [name, duty] : membership.m_duties) {
        if (!name.starts_with("escrow/"))
            continue;
        if (duty.m_holder == driver.m_core.m_instance)
            takeDuty(driver.m_holder, name, duty.m_epoch);
        else
            dropDuty(driver.m_holder, name);
    }
}

auto updateCapacities(EscrowDriver& driver) -> void
{
    const auto view = driver.m_core.m_view.load();
    const auto now = monotonicNow();
    for (const auto& [resource, capacity] : capacityChanges(driver.m_capacities, *view, now, wallNow()))
        setCapacity(driver.m_holder, resource, capacity, now);
    forgetRemoved(driver.m_capacities, now, driver.m_holder.m_timing.m_removalGrace,
        [&](std::string_view resource) { return forgetResource(driver.m_holder, resource); });
}

// Running jobs count against the upper limit of their team as the fold has them. The holder needs the offset of that
// fold together with the numbers.
auto updateRunningJobs(EscrowDriver& driver) -> void
{
    const auto now = monotonicNow();
    const auto& state = driver.m_core.m_state;
    if (now < driver.m_recountAt || driver.m_holder.m_foldedEnd == state.m_nextOffset)
        return;
    driver.m_recountAt = now + recountInterval;
    std::map<std::string, std::uint32_t, std::less<>> running;
    for (const auto& [team, count] : driver.m_reportedJobs)
        running[team] = 0;
    for (const auto& id : state.m_jobs.m_running)
        ++running[state.m_jobs.m_jobs.find(id)->second.m_team];
    for (const auto& [team, count] : running) {
        const auto reported = driver.m_reportedJobs.find(team);
        if (reported == driver.m_reportedJobs.end() || reported->second != count)
            setLoggedPermits(driver.m_holder, teamLimitResource(team), count);
    }
    driver.m_reportedJobs = std::move(running);
    driver.m_holder.m_foldedEnd = state.m_nextOffset;
}

auto executorsOf(const EscrowDriver& driver, std::string_view service) -> std::vector<SlotExecutor>
{
    std::vector<SlotExecutor> executors;
    for (const auto& instance : driver.m_core.m_listed) {
        if (instance.m_kind != "executor" || instance.m_service != service)
            continue;
        const auto capacity = driver.m_capacities.m_capacities.find(executorSlotsResource(service, instance.m_id));
        const auto slots = capacity == driver.m_capacities.m_capacities.end() ? 0 : capacity->second;
        executors.push_back({ instance.m_id, instance.m_zone, slots });
    }
    return executors;
}

auto zonesOf(const ControlCore& core) -> std::map<std::string, std::string, std::less<>>
{
    std::map<std::string, std::string, std::less<>> zones;
    for (const auto& [id, entry] : core.m_state.m_membership.m_entries) {
        if (entry.m_removedAt == 0)
            zones[id] = entry.m_zone;
    }
    return zones;
}

auto connectionsOf(const std::map<std::string, std::string, std::less<>>& zones,
    std::span<const SlotExecutor> executors, const SubsetLimits& limits) -> Connections
{
    std::vector<SubsetMember> entryMembers;
    for (const auto& [id, zone] : zones)
        entryMembers.push_back({ id, zone });
    std::vector<SubsetMember> executorMembers;
    std::map<std::string, std::uint32_t> slots;
    for (const auto& executor : executors) {
        executorMembers.push_back({ executor.m_executor, executor.m_zone });
        slots[executor.m_executor] = executor.m_slots;
    }
    Connections connections;
    for (const auto& [executor, entries] : computeSubsets(entryMembers, executorMembers, limits)) {
        for (const auto& entry : entries)
            connections[entry][executor] = slots[executor];
    }
    return connections;
}

auto weightsOf(const ControlCore& core) -> std::map<std::string, double, std::less<>>
{
    std::map<std::string, double, std::less<>> weights;
    const auto now = wallNow();
    for (const auto& [id, key] : core.m_state.m_keys.m_keys)
        weights[key.m_team]
            = static_cast<double>(effectiveValue(core.m_state.m_configuration, "team.share", key.m_team, now).m_value);
    return weights;
}

auto servicesOf(const ControlCore& core) -> std::set<std::string>
{
    std::set<std::string> services;
    for (const auto& instance : core.m_listed) {
        if (instance.m_kind == "executor")
            services.insert(instance.m_service);
    }
    return services;
}

auto isPlanDue(const SlotBalancer& balancer, Instant now) -> bool
{
    return now - balancer.m_plannedAt >= balancer.m_period;
}

auto balance(EscrowDriver& driver, Instant now) -> void
{
    for (const auto& service : servicesOf(driver.m_core)) {
        auto& balancer = driver.m_balancers[service];
        balancer.m_service = service;
        if (!driver.m_holder.m_duties.contains(escrowDuty(serviceDemandResource(service))) || !isPlanDue(balancer, now))
            continue;
        const auto executors = executorsOf(driver, service);
        const auto zones = zonesOf(driver.m_core);
        const auto limits = subsetLimits(driver.m_core.m_state.m_configuration, service, wallNow());
        balanceSlots(balancer, driver.m_holder, executors, weightsOf(driver.m_core), zones,
            connectionsOf(zones, executors, limits), now);
    }
}

auto onMessage(EscrowDriver& driver, const wire::Envelope& envelope) -> void
{
    driver.m_isBusy = driver.m_isBusy || envelope.has_escrow_demands() || envelope.has_escrow_report();
    for (const auto& demand : envelope.escrow_demands().demands())
        receiveDemand(driver.m_holder, envelope.sender(), demand);
    if (envelope.has_escrow_report())
        receiveReport(driver.m_holder, envelope.sender(), envelope.escrow_report());
    if (envelope.has_escrow_grants() || envelope.has_escrow_report_request())
        driver.m_sendToMember(envelope);
}

auto deliverOrSend(ControlCore& core, const std::string& to, wire::Envelope& envelope) -> void
{
    if (to != core.m_instance) {
        sendToPeer(core, to, envelope);
        return;
    }
    envelope.set_sender(core.m_instance);
    for (const auto& handler : core.m_onMessage)
        handler(envelope);
}

} // namespace

EscrowDriver::EscrowDriver(ControlCore& core)
    : m_core(core)
{
    m_holder.m_timing = escrowTiming(core.m_settings);
}

auto escrowTiming(const ServeSettings& settings) -> EscrowTiming
{
    EscrowTiming timing;
    timing.m_removalGrace
        = settings.m_vouch + settings.m_maximumClockDrift + 2 * settings.m_listLag + longestRequestDeadline;
    return timing;
}

auto sendEscrow(ControlCore& core, std::string to, wire::Envelope envelope) -> void
{
    asio::post(core.m_context, [&core, receiver = std::move(to), message = std::move(envelope)]() mutable {
        deliverOrSend(core, receiver, message);
    });
}

auto runEscrow(EscrowDriver& driver) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    core.m_onFolded.emplace_back([&driver]() { updateMembers(driver); });
    core.m_onMessage.emplace_back([&driver](const wire::Envelope& envelope) { onMessage(driver, envelope); });
    while (!core.m_isStopped) {
        co_await sleepFor(driver.m_isBusy ? busyInterval : idleInterval);
        driver.m_isBusy = false;
        updateCapacities(driver);
        updateRunningJobs(driver);
        const auto now = monotonicNow();
        if (!mayAct(core.m_vouch, now))
            continue;
        balance(driver, now);
        for (auto& outgoing : dueMessages(driver.m_holder, now))
            deliverOrSend(core, outgoing.m_to, outgoing.m_envelope);
    }
}

} // namespace hemlockvane::detail
