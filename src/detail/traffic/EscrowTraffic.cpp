#include "hemlockvane/detail/traffic/EscrowTraffic.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/EscrowDriver.h"
#include "hemlockvane/detail/traffic/RequestDispatch.h"
#include "hemlockvane/detail/traffic/TrafficState.h"
#include "hemlockvane/limits/EscrowResource.h"

#include "hemlockvane/peers.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration busyInterval { 5 };
constexpr Duration idleInterval { 25 };

auto addDemand(std::map<std::string, std::uint32_t>& demandByTeam, const RequestQueue& queue) -> void
{
    for (const auto& demand : teamDemands(queue))
        demandByTeam[demand.m_team] += demand.m_demand;
}

// Reports to the escrow how many permits requests and jobs could use now.
auto reportDemand(TrafficState& traffic) -> void
{
    std::map<std::string, std::uint32_t> demandByTeam;
    for (const auto& team : traffic.m_knownTeams)
        demandByTeam[team] = 0;
    for (const auto& [team, jobs] : traffic.m_jobDemand)
        demandByTeam[team] += jobs;
    for (auto& [serviceName, service] : traffic.m_services) {
        addDemand(demandByTeam, service.m_queue);
        setTeamDemands(traffic.m_escrow, serviceDemandResource(serviceName), teamDemands(service.m_queue));
    }
    for (const auto& [team, permits] : demandByTeam) {
        traffic.m_knownTeams.insert(team);
        setDemand(traffic.m_escrow, teamLimitResource(team), permits);
    }
}

auto applyDuties(TrafficState& traffic, const TrafficView& view) -> void
{
    if (traffic.m_appliedMembership == view.m_membership)
        return;
    traffic.m_appliedMembership = view.m_membership;
    for (const auto& [name, duty] : view.m_membership->m_duties) {
        if (name.starts_with("escrow/"))
            adoptEpoch(traffic.m_escrow, name, duty.m_epoch);
    }
}

auto sendDemands(TrafficState& traffic) -> void
{
    std::map<std::string, wire::Envelope> byHolder;
    const auto& duties = traffic.m_appliedMembership->m_duties;
    for (auto& demand : dueDemands(traffic.m_escrow, monotonicNow())) {
        const auto found = duties.find(demand.fence().duty());
        if (found != duties.end() && !found->second.m_holder.empty())
            *byHolder[found->second.m_holder].mutable_escrow_demands()->add_demands() = std::move(demand);
    }
    for (auto& [holder, envelope] : byHolder)
        sendEscrow(traffic.m_core, holder, std::move(envelope));
}

auto updateCapacities(TrafficState& traffic, const TrafficView& view) -> void
{
    const auto now = monotonicNow();
    const auto window = capacityWindow(traffic.m_escrow.m_timing);
    for (const auto& [resource, capacity] : capacityChanges(traffic.m_capacityFollower, view, now, wallNow()))
        setCapacity(traffic.m_capacities, resource, capacity, now, window);
    forgetRemoved(traffic.m_capacityFollower, now, traffic.m_escrow.m_timing.m_removalGrace,
        [&](std::string_view resource) { return forgetResource(traffic.m_escrow, resource); });
}

auto takeJobPermits(TrafficState& traffic, TeamCounts waiting) -> asio::awaitable<TeamCounts>
{
    TeamCounts taken;
    traffic.m_jobDemand = waiting;
    for (const auto& [team, count] : waiting) {
        auto& permits = taken[team];
        while (permits < count && tryAcquire(traffic.m_escrow, teamLimitResource(team), monotonicNow()))
            ++permits;
    }
    co_return taken;
}

auto giveBackJobPermit(TrafficState& traffic, std::string_view team, Offset recordedAt) -> void
{
    const auto resource = teamLimitResource(team);
    if (recordedAt == 0)
        release(traffic.m_escrow, resource, monotonicNow());
    else
        releaseToLog(traffic.m_escrow, resource, recordedAt - 1);
}

auto isBusy(const TrafficState& traffic) -> bool { return traffic.m_requests > 0 || !traffic.m_jobDemand.empty(); }

} // namespace

auto makeJobPermits(TrafficState& traffic) -> JobPermits
{
    JobPermits permits;
    permits.m_acquire = [&traffic](TeamCounts waiting) -> asio::awaitable<TeamCounts> {
        auto take = [&traffic, counts = std::move(waiting)]() { return takeJobPermits(traffic, counts); };
        co_return co_await asio::co_spawn(traffic.m_context, std::move(take), asio::use_awaitable);
    };
    permits.m_release = [&traffic](const std::string& team, Offset recordedAt) {
        asio::post(traffic.m_context, [&traffic, team, recordedAt]() { giveBackJobPermit(traffic, team, recordedAt); });
    };
    return permits;
}

auto handleEscrowMessage(TrafficState& traffic, const wire::Envelope& envelope) -> void
{
    const auto now = monotonicNow();
    for (const auto& grant : envelope.escrow_grants().grants())
        receiveGrant(traffic.m_escrow, grant, now);
    if (!envelope.has_escrow_report_request())
        return;
    const auto report
        = answerReportRequest(traffic.m_escrow, envelope.escrow_report_request(), traffic.m_capacities, now);
    if (!report)
        return;
    wire::Envelope answer;
    *answer.mutable_escrow_report() = *report;
    sendEscrow(traffic.m_core, envelope.sender(), std::move(answer));
}

auto runDispatchLoop(TrafficState& traffic) -> asio::awaitable<void>
{
    while (true) {
        co_await sleepFor(isBusy(traffic) ? busyInterval : idleInterval);
        applyView(traffic);
        const auto view = currentView(traffic);
        applyDuties(traffic, *view);
        updateCapacities(traffic, *view);
        dispatchAll(traffic);
        reportDemand(traffic);
        sendDemands(traffic);
    }
}

} // namespace hemlockvane::detail
