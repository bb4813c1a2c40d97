#include "hemlockvane/shares/RequestQueue.h"

#include "hemlockvane/shares/FairShares.h"

#include <algorithm>
#include <cmath>

namespace hemlockvane {

namespace {

constexpr double milli = 1000;
// Weight of the latest run in the moving mean of run times.
constexpr double meanRunGain = 0.1;
// A team that the holder has not assigned a share yet competes with this fraction of its weight.
constexpr double unsharedWeight = 0.01;
// Maximum number of slots by which credit moves a team ahead or behind.
constexpr double maximumCredit = 1.5;

auto toSeconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

auto toDuration(double seconds) -> Duration
{
    return Duration { static_cast<Duration::rep>(std::ceil(seconds * milli)) };
}

auto demandOf(const TeamQueue& team) -> double { return static_cast<double>(team.m_running + waitingCount(team)); }

auto localWeight(const TeamQueue& team) -> double
{
    return team.m_fleetShare < 0 ? team.m_weight : team.m_fleetShare + unsharedWeight * team.m_weight;
}

// Divides this entry's slots into fair shares.
auto computeEntitlements(RequestQueue& queue) -> void
{
    std::vector<Demand> demands;
    demands.reserve(queue.m_teams.size());
    for (const auto& [name, team] : queue.m_teams)
        demands.push_back({ localWeight(team), demandOf(team) });
    const auto shares = fairShares(demands, queue.m_slots);
    std::size_t i = 0;
    for (auto& [name, team] : queue.m_teams)
        team.m_entitlement = shares[i++];
}

// Slot seconds of credit that move a team ahead by one slot. At least the mean run time, since a slot cannot be
// reassigned before its run ends.
auto creditScale(const RequestQueue& queue, const TeamQueue& team) -> double
{
    return std::max(toSeconds(queue.m_limits.m_creditTime), team.m_meanRun);
}

// Updates the credits to the current time. A team without waiting requests keeps no positive credit.
auto update(RequestQueue& queue, Instant now) -> void
{
    const auto seconds = toSeconds(now - queue.m_updatedAt);
    queue.m_updatedAt = now;
    for (auto& [name, team] : queue.m_teams) {
        const auto missing = (team.m_entitlement - team.m_running) * seconds;
        const auto limit = maximumCredit * creditScale(queue, team);
        team.m_credit = std::clamp(team.m_credit + missing, -limit, limit);
        if (waitingCount(team) == 0)
            team.m_credit = std::min(team.m_credit, 0.0);
    }
    computeEntitlements(queue);
}

// Slots by which a team is below its share, with credit and the bonus for urgent requests.
auto priorityOf(const RequestQueue& queue, const TeamQueue& team) -> double
{
    const auto urgent = team.m_urgent.empty() ? 0.0 : std::max(1.0, team.m_entitlement * queue.m_limits.m_urgentBonus);
    return team.m_entitlement - team.m_running + team.m_credit / creditScale(queue, team) + urgent;
}

// Slots that a team can expect. The holder sees the team's demand only after requests have waited here, so the team's
// weight among the teams with demand is a lower bound.
auto expectedSlots(const RequestQueue& queue, const TeamQueue& team) -> double
{
    auto weights = 0.0;
    for (const auto& [name, other] : queue.m_teams)
        weights += &other == &team || demandOf(other) > 0 ? other.m_weight : 0;
    return std::max(team.m_entitlement, queue.m_slots * team.m_weight / weights);
}

// Seconds until a request behind `ahead` others of its team is dispatched; 0 while run times are not known.
auto expectedWait(const RequestQueue& queue, const TeamQueue& team, std::size_t ahead) -> double
{
    const auto slots = expectedSlots(queue, team);
    if (team.m_meanRun <= 0 || slots <= 0)
        return 0;
    const auto running = static_cast<double>(team.m_running + ahead + 1);
    return std::max(0.0, running - slots) * team.m_meanRun / slots;
}

auto popNext(TeamQueue& team) -> QueuedRequest
{
    auto& from = team.m_urgent.empty() ? team.m_normal : team.m_urgent;
    auto request = std::move(from.front());
    from.pop_front();
    return request;
}

// Sheds the newest request of the team with the most waiting requests for its weight.
auto shedFromLongestQueue(RequestQueue& queue) -> ShedRequest
{
    const auto longest = std::max_element(queue.m_teams.begin(), queue.m_teams.end(), [](auto& left, auto& right) {
        return static_cast<double>(waitingCount(left.second)) * right.second.m_weight
            < static_cast<double>(waitingCount(right.second)) * left.second.m_weight;
    });
    auto& team = longest->second;
    auto& from = team.m_normal.empty() ? team.m_urgent : team.m_normal;
    const auto ticket = from.back().m_ticket;
    from.pop_back();
    --queue.m_waiting;
    return { ticket, ErrorKind::QueueFull, toDuration(expectedWait(queue, team, waitingCount(team))) };
}

auto shedFrom(RequestQueue& queue, TeamQueue& team, std::deque<QueuedRequest>& requests, std::size_t ahead, Instant now,
    std::vector<ShedRequest>& shed) -> void
{
    std::deque<QueuedRequest> kept;
    for (auto& request : requests) {
        const auto wait = toDuration(expectedWait(queue, team, ahead + kept.size()));
        if (request.m_deadline <= now)
            shed.push_back({ request.m_ticket, ErrorKind::DeadlinePassed, wait });
        else if (now + wait + toDuration(team.m_meanRun) > request.m_deadline)
            shed.push_back({ request.m_ticket, ErrorKind::NoCapacity, wait });
        else
            kept.push_back(std::move(request));
    }
    queue.m_waiting -= requests.size() - kept.size();
    requests = std::move(kept);
}

} // namespace

auto setWeight(RequestQueue& queue, std::string_view team, double weight) -> void
{
    queue.m_teams[std::string(team)].m_weight = weight;
}

auto setSlots(RequestQueue& queue, std::uint32_t slots, std::span<const TeamShare> shares, Instant now) -> void
{
    update(queue, now);
    queue.m_slots = slots;
    for (auto& [name, team] : queue.m_teams)
        team.m_fleetShare = shares.empty() ? -1 : 0;
    for (const auto& share : shares)
        queue.m_teams[share.m_team].m_fleetShare = share.m_milliPermits / milli;
    computeEntitlements(queue);
}

auto enqueue(RequestQueue& queue, QueuedRequest request, Instant now) -> std::vector<ShedRequest>
{
    update(queue, now);
    auto& team = queue.m_teams[request.m_team];
    const auto ahead = request.m_urgent ? team.m_urgent.size() : waitingCount(team);
    const auto wait = toDuration(expectedWait(queue, team, ahead));
    if (request.m_deadline <= now)
        return { { request.m_ticket, ErrorKind::DeadlinePassed, wait } };
    if (now + wait + toDuration(team.m_meanRun) > request.m_deadline)
        return { { request.m_ticket, ErrorKind::NoCapacity, wait } };
    (request.m_urgent ? team.m_urgent : team.m_normal).push_back(std::move(request));
    ++queue.m_waiting;
    std::vector<ShedRequest> shed;
    while (queue.m_waiting > queue.m_limits.m_depth)
        shed.push_back(shedFromLongestQueue(queue));
    computeEntitlements(queue);
    return shed;
}

auto dispatchNext(RequestQueue& queue, const std::function<bool(std::string_view)>& mayRun, Instant now)
    -> std::optional<QueuedRequest>
{
    update(queue, now);
    std::vector<std::pair<double, std::string_view>> order;
    for (const auto& [name, team] : queue.m_teams) {
        if (waitingCount(team) > 0)
            order.emplace_back(priorityOf(queue, team), name);
    }
    std::stable_sort(order.begin(), order.end(), [](auto& left, auto& right) { return left.first > right.first; });
    for (const auto& [rank, name] : order) {
        if (!mayRun(name))
            continue;
        auto& team = queue.m_teams.find(name)->second;
        auto request = popNext(team);
        --queue.m_waiting;
        ++team.m_running;
        return request;
    }
    return std::nullopt;
}

auto finish(RequestQueue& queue, std::string_view team, Duration runTime, Instant now) -> void
{
    update(queue, now);
    const auto found = queue.m_teams.find(team);
    if (found == queue.m_teams.end() || found->second.m_running == 0)
        return;
    auto& state = found->second;
    --state.m_running;
    const auto seconds = toSeconds(runTime);
    state.m_meanRun = state.m_meanRun <= 0 ? seconds : state.m_meanRun + meanRunGain * (seconds - state.m_meanRun);
    computeEntitlements(queue);
}

auto cancel(RequestQueue& queue, std::string_view team, std::uint64_t ticket) -> bool
{
    const auto found = queue.m_teams.find(team);
    if (found == queue.m_teams.end())
        return false;
    const auto matches = [&](const auto& request) { return request.m_ticket == ticket; };
    const auto removed
        = std::erase_if(found->second.m_normal, matches) + std::erase_if(found->second.m_urgent, matches);
    queue.m_waiting -= removed;
    return removed > 0;
}

auto shedLate(RequestQueue& queue, Instant now) -> std::vector<ShedRequest>
{
    update(queue, now);
    std::vector<ShedRequest> shed;
    for (auto& [name, team] : queue.m_teams) {
        shedFrom(queue, team, team.m_urgent, 0, now, shed);
        shedFrom(queue, team, team.m_normal, team.m_urgent.size(), now, shed);
    }
    return shed;
}

auto teamDemands(const RequestQueue& queue) -> std::vector<TeamDemand>
{
    std::vector<TeamDemand> demands;
    for (const auto& [name, team] : queue.m_teams) {
        if (const auto wanted = static_cast<std::uint32_t>(demandOf(team)); wanted > 0)
            demands.push_back({ name, wanted });
    }
    return demands;
}

} // namespace hemlockvane
