#include "hemlockvane/detail/traffic/Lanes.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/CapacityTracker.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/detail/traffic/TrafficShell.h"
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

auto freeSlots(const TrafficShell& shell, const ServiceLane& lane, std::string_view executor) -> std::uint32_t
{
    return permitsFree(shell.m_escrow, executorSlotsResource(lane.m_service, executor));
}

auto hasFreeSlot(const TrafficShell& shell, const ServiceLane& lane) -> bool
{
    for (const auto& [executor, routed] : lane.m_routing.m_executors) {
        if (!routed.m_leaving && freeSlots(shell, lane, executor) > 0)
            return true;
    }
    return false;
}

auto endWait(ServiceLane& lane, std::uint64_t ticket) -> std::shared_ptr<SlotWait>
{
    const auto found = lane.m_waits.find(ticket);
    if (found == lane.m_waits.end())
        return nullptr;
    auto wait = found->second;
    lane.m_waits.erase(found);
    wait->m_signal.cancel();
    return wait;
}

auto shed(ServiceLane& lane, std::span<const ShedRequest> requests) -> void
{
    for (const auto& request : requests) {
        if (const auto wait = endWait(lane, request.m_ticket)) {
            wait->m_shedKind = request.m_kind;
            wait->m_retryAfter = request.m_retryAfter;
        }
    }
}

// Takes a slot for a request that the queue chose.
// False when no executor takes it now: the request waits again.
auto giveSlot(TrafficShell& shell, ServiceLane& lane, const QueuedRequest& request, Instant now) -> bool
{
    const auto found = lane.m_waits.find(request.m_ticket);
    if (found == lane.m_waits.end())
        return true;
    const auto slots = [&](std::string_view executor) { return freeSlots(shell, lane, executor); };
    const auto& wait = *found->second;
    auto executor = chooseExecutor(lane.m_routing, wait.m_isRepeatable, wait.m_tried, slots, now);
    if (!executor || !tryAcquire(shell.m_escrow, executorSlotsResource(lane.m_service, *executor), now)) {
        if (executor)
            recordNeutral(lane.m_routing, *executor);
        return false;
    }
    endWait(lane, request.m_ticket)->m_executor = std::move(executor);
    return true;
}

auto requeue(TrafficShell& shell, ServiceLane& lane, const QueuedRequest& request, Instant now) -> void
{
    release(shell.m_escrow, teamLimitResource(request.m_team), now);
    finish(lane.m_queue, request.m_team, Duration::zero(), now);
    shed(lane, enqueue(lane.m_queue, request, now));
}

auto pump(TrafficShell& shell, ServiceLane& lane) -> void
{
    const auto now = monotonicNow();
    shed(lane, shedLate(lane.m_queue, now));
    const auto mayRun = [&](std::string_view team) { return tryAcquire(shell.m_escrow, teamLimitResource(team), now); };
    while (lane.m_queue.m_waiting > 0 && hasFreeSlot(shell, lane)) {
        const auto request = dispatchNext(lane.m_queue, mayRun, now);
        if (!request)
            return;
        if (giveSlot(shell, lane, *request, now))
            continue;
        requeue(shell, lane, *request, now);
        return;
    }
}

auto updateSlots(TrafficShell& shell, ServiceLane& lane, Instant now) -> void
{
    std::uint32_t held = 0;
    for (const auto& [executor, routed] : lane.m_routing.m_executors) {
        const auto found = shell.m_escrow.m_resources.find(executorSlotsResource(lane.m_service, executor));
        if (found != shell.m_escrow.m_resources.end())
            held += permitsHeld(found->second);
    }
    const auto shares = shell.m_escrow.m_resources.find(serviceDemandResource(lane.m_service));
    const auto none = std::vector<TeamShare>();
    setSlots(lane.m_queue, held, shares == shell.m_escrow.m_resources.end() ? none : shares->second.m_shares, now);
}

auto makeLane(const TrafficShell& shell, std::string_view service) -> ServiceLane
{
    ServiceLane lane;
    lane.m_service = std::string(service);
    lane.m_routing.m_zone = shell.m_core.m_settings.m_zone;
    return lane;
}

// Closes the idle connections to executors that are off the list or have another address.
auto dropGone(TrafficShell& shell, const ServiceLane& lane, const Addresses& current) -> void
{
    for (const auto& [executor, address] : lane.m_addresses) {
        const auto found = current.find(executor);
        if (found == current.end() || found->second != address)
            shell.m_connections.dropIdle(address);
    }
}

auto followExecutors(TrafficShell& shell, const TrafficView& view) -> void
{
    std::map<std::string, Addresses> addresses;
    std::map<std::string, std::map<std::string, RoutedExecutor, std::less<>>> listed;
    for (const auto& instance : *view.m_listed) {
        if (instance.m_kind != "executor")
            continue;
        RoutedExecutor executor;
        executor.m_zone = instance.m_zone;
        executor.m_leaving = instance.m_isLeaving;
        listed[instance.m_service][instance.m_id] = executor;
        addresses[instance.m_service][instance.m_id] = instance.m_address;
        shell.m_lanes.try_emplace(instance.m_service, makeLane(shell, instance.m_service));
    }
    for (auto& [service, lane] : shell.m_lanes) {
        updateExecutors(lane.m_routing, listed[service]);
        dropGone(shell, lane, addresses[service]);
        lane.m_addresses = std::move(addresses[service]);
    }
}

// Idle connections that this entry may keep to an executor, so that all entries together stay within its limit.
auto spareOf(const TrafficView& view, std::string_view service, WallMillis now) -> std::size_t
{
    const auto limits = subsetLimits(*view.m_configuration, service, now);
    const auto& entries = view.m_membership->m_entries;
    const auto members = std::count_if(
        entries.begin(), entries.end(), [](const auto& entry) { return entry.second.m_removedAt == 0; });
    return spareConnections(limits, std::min(limits.m_entries, static_cast<std::uint32_t>(members)));
}

auto followConfiguration(TrafficShell& shell, const TrafficView& view) -> void
{
    const auto now = wallNow();
    const auto& configuration = *view.m_configuration;
    for (auto& [service, lane] : shell.m_lanes) {
        lane.m_spareConnections = spareOf(view, service, now);
        lane.m_queue.m_limits.m_depth
            = static_cast<std::size_t>(effectiveValue(configuration, "queue.depth", service, now).m_value);
        for (const auto& [id, key] : view.m_keys->m_keys)
            setWeight(lane.m_queue, key.m_team,
                static_cast<double>(effectiveValue(configuration, "team.share", key.m_team, now).m_value));
    }
}

// True when the team may have nothing running at all.
auto isBarred(const TrafficShell& shell, std::string_view team) -> bool
{
    const auto& capacities = shell.m_capacityFollower.m_capacities;
    const auto found = capacities.find(teamLimitResource(team));
    return found != capacities.end() && found->second == 0;
}

// A request that left the queue while slots were free waited for a permit of its team.
auto isOverLimit(const TrafficShell& shell, const ServiceLane& lane, std::string_view team) -> bool
{
    return permitsFree(shell.m_escrow, teamLimitResource(team)) == 0 && hasFreeSlot(shell, lane);
}

auto overLimit(std::string_view team, FailureReason& reason) -> std::nullopt_t
{
    return fail(reason, ErrorKind::OverLimit, "team " + std::string(team) + " has its upper limit running");
}

} // namespace

auto findLane(TrafficShell& shell, std::string_view service) -> ServiceLane*
{
    const auto found = shell.m_lanes.find(service);
    return found == shell.m_lanes.end() ? nullptr : &found->second;
}

auto acquireSlot(TrafficShell& shell, ServiceLane& lane, const QueueRequest& request, std::vector<std::string> tried,
    FailureReason& reason, Duration& retryAfter) -> asio::awaitable<std::optional<std::string>>
{
    const auto& team = request.m_caller.m_team;
    if (isBarred(shell, team))
        co_return overLimit(team, reason);
    const auto ticket = ++shell.m_lastTicket;
    const auto wait = std::make_shared<SlotWait>(shell.m_context.get_executor());
    wait->m_isRepeatable = request.m_isRepeatable;
    wait->m_tried = std::move(tried);
    lane.m_waits[ticket] = wait;
    const QueuedRequest queued { ticket, team, request.m_isUrgent, request.m_deadline };
    shed(lane, enqueue(lane.m_queue, queued, monotonicNow()));
    pump(shell, lane);
    boost::system::error_code error;
    if (!wait->m_executor && wait->m_shedKind == ErrorKind::None)
        co_await wait->m_signal.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (wait->m_executor)
        co_return wait->m_executor;
    retryAfter = wait->m_retryAfter;
    if (wait->m_shedKind != ErrorKind::QueueFull && isOverLimit(shell, lane, team))
        co_return overLimit(team, reason);
    fail(reason, wait->m_shedKind,
        "the queue of " + lane.m_service + " shed it: " + std::string(errorAnswer(wait->m_shedKind).m_name));
    co_return std::nullopt;
}

auto releaseSlot(
    TrafficShell& shell, ServiceLane& lane, std::string_view team, std::string_view executor, Duration ranFor) -> void
{
    const auto now = monotonicNow();
    release(shell.m_escrow, executorSlotsResource(lane.m_service, executor), now);
    release(shell.m_escrow, teamLimitResource(team), now);
    finish(lane.m_queue, team, ranFor, now);
    pump(shell, lane);
}

auto followView(TrafficShell& shell) -> void
{
    const auto view = currentView(shell);
    if (view->m_listed && view->m_listed != shell.m_followedList) {
        shell.m_followedList = view->m_listed;
        followExecutors(shell, *view);
    }
    const auto now = monotonicNow();
    if (now >= shell.m_followConfigurationAt) {
        shell.m_followConfigurationAt = now + configurationInterval;
        followConfiguration(shell, *view);
    }
}

auto pumpLanes(TrafficShell& shell) -> void
{
    const auto now = monotonicNow();
    for (auto& [service, lane] : shell.m_lanes) {
        updateSlots(shell, lane, now);
        pump(shell, lane);
    }
}

} // namespace hemlockvane::detail
