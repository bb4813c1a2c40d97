#include "hemlockvane/detail/traffic/EscrowTraffic.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/EscrowDriver.h"
#include "hemlockvane/detail/traffic/Lanes.h"
#include "hemlockvane/detail/traffic/TrafficShell.h"
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

auto addTo(std::map<std::string, std::uint32_t>& wanted, const RequestQueue& queue) -> void
{
    for (const auto& demand : teamDemands(queue))
        wanted[demand.m_team] += demand.m_demand;
}

// Tells the escrow what requests and jobs could use now.
auto reportWanted(TrafficShell& shell) -> void
{
    std::map<std::string, std::uint32_t> wanted;
    for (const auto& team : shell.m_knownTeams)
        wanted[team] = 0;
    for (const auto& [team, jobs] : shell.m_jobsWanted)
        wanted[team] += jobs;
    for (auto& [service, lane] : shell.m_lanes) {
        addTo(wanted, lane.m_queue);
        setTeamDemands(shell.m_escrow, serviceDemandResource(service), teamDemands(lane.m_queue));
    }
    for (const auto& [team, permits] : wanted) {
        shell.m_knownTeams.insert(team);
        setDemand(shell.m_escrow, teamLimitResource(team), permits);
    }
}

auto adoptDuties(TrafficShell& shell, const TrafficView& view) -> void
{
    if (shell.m_followedMembership == view.m_membership)
        return;
    shell.m_followedMembership = view.m_membership;
    for (const auto& [name, duty] : view.m_membership->m_duties) {
        if (name.starts_with("escrow/"))
            adoptEpoch(shell.m_escrow, name, duty.m_epoch);
    }
}

auto sendDemands(TrafficShell& shell) -> void
{
    std::map<std::string, wire::Envelope> byHolder;
    const auto& duties = shell.m_followedMembership->m_duties;
    for (auto& demand : dueDemands(shell.m_escrow, monotonicNow())) {
        const auto found = duties.find(demand.fence().duty());
        if (found != duties.end() && !found->second.m_holder.empty())
            *byHolder[found->second.m_holder].mutable_escrow_demands()->add_demands() = std::move(demand);
    }
    for (auto& [holder, envelope] : byHolder)
        sendEscrow(shell.m_core, holder, std::move(envelope));
}

auto followCapacities(TrafficShell& shell, const TrafficView& view) -> void
{
    const auto now = monotonicNow();
    const auto window = capacityWindow(shell.m_escrow.m_timing);
    for (const auto& [resource, capacity] : capacityChanges(shell.m_capacityFollower, view, now, wallNow()))
        setCapacity(shell.m_capacities, resource, capacity, now, window);
    forgetRemoved(shell.m_capacityFollower, now, shell.m_escrow.m_timing.m_removalGrace,
        [&](std::string_view resource) { return forgetResource(shell.m_escrow, resource); });
}

auto takeJobPermits(TrafficShell& shell, TeamCounts waiting) -> asio::awaitable<TeamCounts>
{
    TeamCounts taken;
    shell.m_jobsWanted = waiting;
    for (const auto& [team, count] : waiting) {
        auto& permits = taken[team];
        while (permits < count && tryAcquire(shell.m_escrow, teamLimitResource(team), monotonicNow()))
            ++permits;
    }
    co_return taken;
}

auto giveBackJobPermit(TrafficShell& shell, std::string_view team, Offset recordedAt) -> void
{
    const auto resource = teamLimitResource(team);
    if (recordedAt == 0)
        release(shell.m_escrow, resource, monotonicNow());
    else
        releaseToLog(shell.m_escrow, resource, recordedAt - 1);
}

auto isBusy(const TrafficShell& shell) -> bool { return shell.m_requests > 0 || !shell.m_jobsWanted.empty(); }

} // namespace

auto makeJobPermits(TrafficShell& shell) -> JobPermits
{
    JobPermits permits;
    permits.m_acquire = [&shell](TeamCounts waiting) -> asio::awaitable<TeamCounts> {
        auto take = [&shell, counts = std::move(waiting)]() { return takeJobPermits(shell, counts); };
        co_return co_await asio::co_spawn(shell.m_context, std::move(take), asio::use_awaitable);
    };
    permits.m_release = [&shell](const std::string& team, Offset recordedAt) {
        asio::post(shell.m_context, [&shell, team, recordedAt]() { giveBackJobPermit(shell, team, recordedAt); });
    };
    return permits;
}

auto takeEscrowMessage(TrafficShell& shell, const wire::Envelope& envelope) -> void
{
    const auto now = monotonicNow();
    for (const auto& grant : envelope.escrow_grants().grants())
        receiveGrant(shell.m_escrow, grant, now);
    if (!envelope.has_escrow_report_request())
        return;
    const auto report = answerReportRequest(shell.m_escrow, envelope.escrow_report_request(), shell.m_capacities, now);
    if (!report)
        return;
    wire::Envelope answer;
    *answer.mutable_escrow_report() = *report;
    sendEscrow(shell.m_core, envelope.sender(), std::move(answer));
}

auto runLanes(TrafficShell& shell) -> asio::awaitable<void>
{
    while (true) {
        co_await sleepFor(isBusy(shell) ? busyInterval : idleInterval);
        followView(shell);
        const auto view = currentView(shell);
        adoptDuties(shell, *view);
        followCapacities(shell, *view);
        pumpLanes(shell);
        reportWanted(shell);
        sendDemands(shell);
    }
}

} // namespace hemlockvane::detail
