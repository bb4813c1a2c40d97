#include "hemlockvane/detail/traffic/RequestDispatch.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/configuration/EvacuatedZones.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/CapacityTracker.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/detail/traffic/TrafficState.h"
#include "hemlockvane/errors/ErrorAnswer.h"
#include "hemlockvane/limits/EscrowResource.h"
#include "hemlockvane/routing/ChooseExecutor.h"
#include "hemlockvane/routing/ConnectionSubset.h"
#include "hemlockvane/routing/SubsetLimits.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration configurationInterval { 500 };

using Addresses = std::map<std::string, std::string, std::less<>>;

auto freeSlots(const TrafficState& traffic, const ServiceState& service, std::string_view executor) -> std::uint32_t
{
    return permitsFree(traffic.m_escrow, executorSlotsResource(service.m_service, executor));
}

auto hasFreeSlot(const TrafficState& traffic, const ServiceState& service) -> bool
{
    for (const auto& [executor, routed] : service.m_routing.m_executors) {
        if (!routed.m_leaving && freeSlots(traffic, service, executor) > 0)
            return true;
    }
    return false;
}

auto endWait(ServiceState& service, std::uint64_t ticket) -> std::shared_ptr<SlotWait>
{
    const auto found = service.m_waits.find(ticket);
    if (found == service.m_waits.end())
        return nullptr;
    auto wait = found->second;
    service.m_waits.erase(found);
    wait->m_signal.cancel();
    return wait;
}

auto shed(ServiceState& service, std::span<const ShedRequest> requests) -> void
{
    for (const auto& request : requests) {
        if (const auto wait = endWait(service, request.m_ticket)) {
            wait->m_shedKind = request.m_kind;
            wait->m_retryAfter = request.m_retryAfter;
        }
    }
}

// Acquires a slot at an executor for a request that was taken out of the queue. Returns false when no suitable executor
// has a free slot; the request must then be queued again.
auto assignSlot(TrafficState& traffic, ServiceState& service, const QueuedRequest& request, Instant now) -> bool
{
    const auto found = service.m_waits.find(request.m_ticket);
    if (found == service.m_waits.end())
        return true;
    const auto slots = [&](std::string_view executor) { return freeSlots(traffic, service, executor); };
    const auto& wait = *found->second;
    auto executor = chooseExecutor(service.m_routing, wait.m_isRepeatable, wait.m_tried, slots, now);
    if (!executor || !tryAcquire(traffic.m_escrow, executorSlotsResource(service.m_service, *executor), now)) {
        if (executor)
            recordNeutral(service.m_routing, *executor);
        return false;
    }
    endWait(service, request.m_ticket)->m_executor = std::move(executor);
    return true;
}

auto requeue(TrafficState& traffic, ServiceState& service, const QueuedRequest& request, Instant now) -> void
{
    release(traffic.m_escrow, teamLimitResource(request.m_team), now);
    finish(service.m_queue, request.m_team, Duration::zero(), now);
    shed(service, enqueue(service.m_queue, request, now));
}

auto dispatchQueued(TrafficState& traffic, ServiceState& service) -> void
{
    const auto now = monotonicNow();
    shed(service, shedLate(service.m_queue, now));
    const auto mayRun
        = [&](std::string_view team) { return tryAcquire(traffic.m_escrow, teamLimitResource(team), now); };
    while (service.m_queue.m_waiting > 0 && hasFreeSlot(traffic, service)) {
        const auto request = dispatchNext(service.m_queue, mayRun, now);
        if (!request)
            return;
        if (assignSlot(traffic, service, *request, now))
            continue;
        requeue(traffic, service, *request, now);
        return;
    }
}

auto updateSlots(TrafficState& traffic, ServiceState& service, Instant now) -> void
{
    std::uint32_t held = 0;
    for (const auto& [executor, routed] : service.m_routing.m_executors) {
        const auto found = traffic.m_escrow.m_resources.find(executorSlotsResource(service.m_service, executor));
        if (found != traffic.m_escrow.m_resources.end())
            held += permitsHeld(found->second);
    }
    const auto shares = traffic.m_escrow.m_resources.find(serviceDemandResource(service.m_service));
    const auto none = std::vector<TeamShare>();
    setSlots(service.m_queue, held, shares == traffic.m_escrow.m_resources.end() ? none : shares->second.m_shares, now);
}

auto makeService(const TrafficState& traffic, std::string_view serviceName) -> ServiceState
{
    ServiceState service;
    service.m_service = std::string(serviceName);
    service.m_routing.m_zone = traffic.m_core.m_settings.m_zone;
    return service;
}

// Closes the idle connections to executors that are no longer listed or have another address.
auto dropStaleConnections(TrafficState& traffic, const ServiceState& service, const Addresses& current) -> void
{
    for (const auto& [executor, address] : service.m_addresses) {
        const auto found = current.find(executor);
        if (found == current.end() || found->second != address)
            traffic.m_connections.dropIdle(address);
    }
}

auto applyExecutors(TrafficState& traffic, const TrafficView& view) -> void
{
    std::map<std::string, Addresses> addresses;
    std::map<std::string, std::map<std::string, RoutedExecutor, std::less<>>> listed;
    for (const auto& instance : *view.m_listed) {
        if (instance.m_kind != "executor")
            continue;
        RoutedExecutor executor;
        executor.m_zone = instance.m_zone;
        executor.m_leaving = instance.m_isLeaving || traffic.m_evacuatedZones.contains(instance.m_zone);
        listed[instance.m_service][instance.m_id] = executor;
        addresses[instance.m_service][instance.m_id] = instance.m_address;
        traffic.m_services.try_emplace(instance.m_service, makeService(traffic, instance.m_service));
    }
    for (auto& [serviceName, service] : traffic.m_services) {
        updateExecutors(service.m_routing, listed[serviceName]);
        dropStaleConnections(traffic, service, addresses[serviceName]);
        service.m_addresses = std::move(addresses[serviceName]);
    }
}

// Maximum number of idle connections that this entry may keep to an executor, so that all entries together stay within
// the executor's limit.
auto maximumIdleFor(const TrafficView& view, std::string_view serviceName, WallMillis now) -> std::size_t
{
    const auto limits = subsetLimits(*view.m_configuration, serviceName, now);
    const auto& entries = view.m_membership->m_entries;
    const auto members = std::count_if(
        entries.begin(), entries.end(), [](const auto& entry) { return entry.second.m_removedAt == 0; });
    return spareConnections(limits, std::min(limits.m_entries, static_cast<std::uint32_t>(members)));
}

auto applyConfiguration(TrafficState& traffic, const TrafficView& view) -> void
{
    const auto now = wallNow();
    const auto& configuration = *view.m_configuration;
    for (auto& [serviceName, service] : traffic.m_services) {
        service.m_maximumIdleConnections = maximumIdleFor(view, serviceName, now);
        service.m_queue.m_limits.m_depth
            = static_cast<std::size_t>(effectiveValue(configuration, "queue.depth", serviceName, now).m_value);
        for (const auto& [id, key] : view.m_keys->m_keys)
            setWeight(service.m_queue, key.m_team,
                static_cast<double>(effectiveValue(configuration, "team.share", key.m_team, now).m_value));
    }
}

auto hasZeroLimit(const TrafficState& traffic, std::string_view team) -> bool
{
    const auto& capacities = traffic.m_capacityFollower.m_capacities;
    const auto found = capacities.find(teamLimitResource(team));
    return found != capacities.end() && found->second == 0;
}

// True when only the team's upper limit prevents a request from running: executors have free slots, but the team has
// no free permit.
auto isOverLimit(const TrafficState& traffic, const ServiceState& service, std::string_view team) -> bool
{
    return permitsFree(traffic.m_escrow, teamLimitResource(team)) == 0 && hasFreeSlot(traffic, service);
}

auto failOverLimit(std::string_view team, FailureReason& reason) -> std::nullopt_t
{
    return fail(reason, ErrorKind::OverLimit, "team " + std::string(team) + " has reached its upper limit");
}

} // namespace

auto findService(TrafficState& traffic, std::string_view serviceName) -> ServiceState*
{
    const auto found = traffic.m_services.find(serviceName);
    return found == traffic.m_services.end() ? nullptr : &found->second;
}

auto acquireSlot(TrafficState& traffic, ServiceState& service, const QueueRequest& request,
    std::vector<std::string> tried, FailureReason& reason, Duration& retryAfter)
    -> asio::awaitable<std::optional<std::string>>
{
    const auto& team = request.m_caller.m_team;
    if (hasZeroLimit(traffic, team))
        co_return failOverLimit(team, reason);
    const auto ticket = ++traffic.m_lastTicket;
    const auto wait = std::make_shared<SlotWait>(traffic.m_context.get_executor());
    wait->m_isRepeatable = request.m_isRepeatable;
    wait->m_tried = std::move(tried);
    service.m_waits[ticket] = wait;
    const QueuedRequest queued { ticket, team, request.m_isUrgent, request.m_deadline };
    shed(service, enqueue(service.m_queue, queued, monotonicNow()));
    dispatchQueued(traffic, service);
    boost::system::error_code error;
    if (!wait->m_executor && wait->m_shedKind == ErrorKind::None)
        co_await wait->m_signal.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (wait->m_executor)
        co_return wait->m_executor;
    retryAfter = wait->m_retryAfter;
    if (wait->m_shedKind != ErrorKind::QueueFull && isOverLimit(traffic, service, team))
        co_return failOverLimit(team, reason);
    fail(reason, wait->m_shedKind,
        "the queue of " + service.m_service
            + " shed the request: " + std::string(errorAnswer(wait->m_shedKind).m_name));
    co_return std::nullopt;
}

auto releaseSlot(TrafficState& traffic, ServiceState& service, std::string_view team, std::string_view executor,
    Duration ranFor) -> void
{
    const auto now = monotonicNow();
    release(traffic.m_escrow, executorSlotsResource(service.m_service, executor), now);
    release(traffic.m_escrow, teamLimitResource(team), now);
    finish(service.m_queue, team, ranFor, now);
    dispatchQueued(traffic, service);
}

auto applyView(TrafficState& traffic) -> void
{
    const auto view = currentView(traffic);
    const auto now = monotonicNow();
    const auto isConfigurationDue = now >= traffic.m_nextConfigurationUpdate;
    auto evacuated = isConfigurationDue ? evacuatedZones(*view->m_configuration, wallNow()) : traffic.m_evacuatedZones;
    if (view->m_listed && (view->m_listed != traffic.m_appliedList || evacuated != traffic.m_evacuatedZones)) {
        traffic.m_appliedList = view->m_listed;
        traffic.m_evacuatedZones = std::move(evacuated);
        applyExecutors(traffic, *view);
    }
    if (isConfigurationDue) {
        traffic.m_nextConfigurationUpdate = now + configurationInterval;
        applyConfiguration(traffic, *view);
    }
}

auto dispatchAll(TrafficState& traffic) -> void
{
    const auto now = monotonicNow();
    for (auto& [serviceName, service] : traffic.m_services) {
        updateSlots(traffic, service, now);
        dispatchQueued(traffic, service);
    }
}

} // namespace hemlockvane::detail
