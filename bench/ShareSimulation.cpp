#include "ShareSimulation.h"

#include <algorithm>
#include <numeric>

namespace hemlockvane::bench {

namespace {

constexpr Offset firstEpoch = 100;

struct RunningRequest {
    Instant m_end;
    int m_entry = 0;
    int m_service = 0;
    int m_team = 0;
    int m_executor = -1; // -1 under the policies that do not assign a request to an executor.
    int m_runMs = 0;

    auto operator<(const RunningRequest& other) const -> bool { return m_end > other.m_end; }
};

struct WaitingRequest {
    int m_service = 0;
    int m_team = 0;
    int m_runMs = 0;
    Instant m_arrivedAt;
};

struct Entry {
    EscrowHolder m_holder;
    EscrowMember m_member;
    std::vector<RequestQueue> m_queues; // By service.
    std::vector<std::uint32_t> m_used; // Running requests by service, for the static split.
    std::map<std::string, SlotBalancer> m_balancers;
};

struct InFlightMessage {
    Instant m_deliverAt;
    int m_from = 0;
    int m_to = 0;
    wire::Envelope m_envelope;
};

class ShareSimulation {
public:
    ShareSimulation(const ShareWorkload& workload, SharePolicy policy, std::uint64_t seed, int delayMs)
        : m_workload(workload)
        , m_policy(policy)
        , m_random(seed)
        , m_messageDelayMs(delayMs)
    {
        for (std::size_t t = 0; t < workload.m_teams.size(); ++t) {
            m_weights[workload.m_teams[t].m_name] = workload.m_teams[t].m_weight;
        }
        for (int s = 0; s < workload.m_services; ++s)
            addService(s);
        for (int e = 0; e < workload.m_entries; ++e)
            addEntry(e);
        if (policy == SharePolicy::Escrow)
            assignDuties();
    }

    auto run() -> ShareResult
    {
        for (int ms = 0; ms < m_workload.m_seconds * 1000; ++ms) {
            m_now += Duration { 1 };
            std::fill(m_started.begin(), m_started.end(), 0);
            endRuns();
            generateArrivals(ms);
            if (m_policy == SharePolicy::Escrow)
                exchangeMessages();
            dispatch();
            sampleMeters();
        }
        return result();
    }

private:
    auto teams() const -> std::size_t { return m_workload.m_teams.size(); }

    auto addService(int s) -> void
    {
        m_services.push_back("s" + std::to_string(s));
        ShareMeter meter;
        meter.m_capacity = static_cast<double>(m_workload.m_slots) * m_workload.m_executors;
        for (const auto& team : m_workload.m_teams)
            meter.m_weights.push_back(team.m_weight);
        m_meters.push_back(std::move(meter));
        m_running.resize(m_running.size() + teams());
        m_waiting.resize(m_waiting.size() + teams());
        m_started.resize(m_started.size() + teams());
        m_sharedQueues.emplace_back();
        m_busySlots.push_back(0);
        std::vector<SlotExecutor> executors;
        for (int x = 0; x < m_workload.m_executors; ++x) {
            executors.push_back(
                { "x" + std::to_string(x), "z" + std::to_string(x % m_workload.m_zones), m_workload.m_slots });
            m_resources.push_back(executorSlotsResource(m_services.back(), executors.back().m_executor));
        }
        m_executors.push_back(std::move(executors));
    }

    auto addEntry(int e) -> void
    {
        auto& entry = m_entries.emplace_back();
        m_entryNames.push_back("e" + std::to_string(e));
        m_entryZones[m_entryNames.back()] = "z" + std::to_string(e % m_workload.m_zones);
        for (int x = 0; x < m_workload.m_executors; ++x)
            m_connections[m_entryNames.back()]["x" + std::to_string(x)] = m_workload.m_slots;
        for (int s = 0; s < m_workload.m_services; ++s) {
            auto& queue = entry.m_queues.emplace_back();
            entry.m_used.push_back(0);
            for (const auto& [team, weight] : m_weights)
                setWeight(queue, team, weight);
            if (m_policy != SharePolicy::Escrow)
                setSlots(queue, staticSlots(e), {}, m_now);
        }
    }

    auto staticSlots(int e) const -> std::uint32_t
    {
        const auto capacity = m_workload.m_slots * static_cast<std::uint32_t>(m_workload.m_executors);
        const auto entries = static_cast<std::uint32_t>(m_workload.m_entries);
        return capacity / entries + (static_cast<std::uint32_t>(e) < capacity % entries ? 1 : 0);
    }

    auto assignDuties() -> void
    {
        for (std::size_t e = 0; e < m_entries.size(); ++e) {
            for (std::size_t other = 0; other < m_entries.size(); ++other)
                memberJoined(m_entries[e].m_holder, m_entryNames[other], other + 1);
            for (const auto& resource : m_resources)
                setCapacity(m_entries[e].m_holder, resource, m_workload.m_slots, m_now);
        }
        for (std::uint32_t d = 0; d < escrowDutyCount; ++d) {
            const auto duty = "escrow/" + std::to_string(d);
            const auto holder = d % m_entries.size();
            m_dutyHolders[duty] = static_cast<int>(holder);
            takeDuty(m_entries[holder].m_holder, duty, firstEpoch + d);
            for (auto& entry : m_entries)
                adoptEpoch(entry.m_member, duty, firstEpoch + d);
        }
        for (const auto& service : m_services) {
            auto& holder
                = m_entries[static_cast<std::size_t>(m_dutyHolders[escrowDuty(serviceDemandResource(service))])];
            holder.m_balancers[service].m_service = service;
        }
    }

    auto teamIndex(int service, int team) const -> std::size_t
    {
        return static_cast<std::size_t>(service) * teams() + static_cast<std::size_t>(team);
    }

    auto generateArrivals(int ms) -> void
    {
        for (int s = 0; s < m_workload.m_services; ++s) {
            const auto factor = loadFactor(m_workload, s, ms);
            for (std::size_t t = 0; t < teams(); ++t) {
                for (int e = 0; e < m_workload.m_entries; ++e) {
                    for (int n = drawArrivals(m_workload.m_teams[t], e, factor, m_random); n > 0; --n)
                        submit(s, static_cast<int>(t), e);
                }
            }
        }
    }

    auto submit(int s, int t, int e) -> void
    {
        const auto& team = m_workload.m_teams[static_cast<std::size_t>(t)];
        const auto id = ++m_lastTicket;
        m_waitingRequests[id] = { s, t, drawRunMs(team, m_random), m_now };
        addDemand(m_meters[static_cast<std::size_t>(s)], t, m_waitingRequests[id].m_runMs);
        const QueuedRequest request { id, team.m_name, false, m_now + Duration { m_workload.m_deadlineMs } };
        ++m_waiting[teamIndex(s, t)];
        if (m_policy == SharePolicy::FirstComeFirstServed) {
            submitFirstCome(s, request);
            return;
        }
        auto& queue = m_entries[static_cast<std::size_t>(e)].m_queues[static_cast<std::size_t>(s)];
        for (const auto& shed : enqueue(queue, request, m_now))
            shedRequest(s, shed.m_ticket);
    }

    auto submitFirstCome(int s, const QueuedRequest& request) -> void
    {
        auto& sharedQueue = m_sharedQueues[static_cast<std::size_t>(s)];
        const auto depth = QueueLimits {}.m_depth * static_cast<std::size_t>(m_workload.m_entries);
        if (sharedQueue.size() >= depth)
            shedRequest(s, request.m_ticket);
        else
            sharedQueue.push_back(request);
    }

    auto shedRequest(int s, std::uint64_t id) -> void
    {
        const auto found = m_waitingRequests.find(id);
        --m_waiting[teamIndex(s, found->second.m_team)];
        m_waitingRequests.erase(found);
        ++m_result.m_shed;
    }

    auto start(int s, int e, std::uint64_t id, int executor) -> void
    {
        const auto found = m_waitingRequests.find(id);
        const auto request = found->second;
        m_waitingRequests.erase(found);
        m_runningRequests.push_back(
            { m_now + Duration { request.m_runMs }, e, s, request.m_team, executor, request.m_runMs });
        std::push_heap(m_runningRequests.begin(), m_runningRequests.end());
        --m_waiting[teamIndex(s, request.m_team)];
        ++m_running[teamIndex(s, request.m_team)];
        ++m_started[teamIndex(s, request.m_team)];
        if (request.m_team == 0)
            m_firstTeamWaits.push_back(static_cast<double>((m_now - request.m_arrivedAt).count()));
        ++m_result.m_dispatched;
    }

    auto endRuns() -> void
    {
        while (!m_runningRequests.empty() && m_runningRequests.front().m_end <= m_now) {
            std::pop_heap(m_runningRequests.begin(), m_runningRequests.end());
            const auto run = m_runningRequests.back();
            m_runningRequests.pop_back();
            --m_running[teamIndex(run.m_service, run.m_team)];
            const auto s = static_cast<std::size_t>(run.m_service);
            if (m_policy == SharePolicy::FirstComeFirstServed) {
                --m_busySlots[s];
                continue;
            }
            auto& entry = m_entries[static_cast<std::size_t>(run.m_entry)];
            const auto& team = m_workload.m_teams[static_cast<std::size_t>(run.m_team)].m_name;
            finish(entry.m_queues[s], team, Duration { run.m_runMs }, m_now);
            --entry.m_used[s];
            if (run.m_executor >= 0)
                release(entry.m_member, resourceOf(run.m_service, run.m_executor), m_now);
        }
    }

    auto resourceOf(int s, int x) const -> const std::string&
    {
        return m_resources[static_cast<std::size_t>(s) * m_executors[0].size() + static_cast<std::size_t>(x)];
    }

    auto exchangeMessages() -> void
    {
        std::vector<InFlightMessage> arrived;
        while (!m_inFlight.empty() && m_inFlight.front().m_deliverAt <= m_now) {
            arrived.push_back(std::move(m_inFlight.front()));
            m_inFlight.pop_front();
        }
        for (const auto& message : arrived)
            receive(message);
        for (std::size_t e = 0; e < m_entries.size(); ++e) {
            reportDemand(m_entries[e]);
            sendMessages(static_cast<int>(e));
        }
    }

    auto receive(const InFlightMessage& message) -> void
    {
        auto& entry = m_entries[static_cast<std::size_t>(message.m_to)];
        const auto& sender = m_entryNames[static_cast<std::size_t>(message.m_from)];
        const auto& envelope = message.m_envelope;
        if (envelope.has_escrow_report_request()) {
            wire::Envelope answer;
            *answer.mutable_escrow_report() = *answerReportRequest(
                entry.m_member, envelope.escrow_report_request(), entry.m_holder.m_capacities, m_now);
            send(message.m_to, message.m_from, std::move(answer));
        }
        if (envelope.has_escrow_report())
            receiveReport(entry.m_holder, sender, envelope.escrow_report());
        for (const auto& demand : envelope.escrow_demands().demands())
            receiveDemand(entry.m_holder, sender, demand);
        for (const auto& grant : envelope.escrow_grants().grants())
            receiveGrant(entry.m_member, grant, m_now);
    }

    auto reportDemand(Entry& entry) -> void
    {
        for (std::size_t s = 0; s < m_services.size(); ++s)
            setTeamDemands(entry.m_member, serviceDemandResource(m_services[s]), teamDemands(entry.m_queues[s]));
    }

    auto sendMessages(int e) -> void
    {
        auto& entry = m_entries[static_cast<std::size_t>(e)];
        std::map<int, wire::Envelope> demands;
        for (auto& demand : dueDemands(entry.m_member, m_now))
            *demands[m_dutyHolders[demand.fence().duty()]].mutable_escrow_demands()->add_demands() = std::move(demand);
        for (auto& [to, envelope] : demands)
            send(e, to, std::move(envelope));
        for (auto& [service, balancer] : entry.m_balancers) {
            const auto s = static_cast<std::size_t>(
                std::find(m_services.begin(), m_services.end(), service) - m_services.begin());
            balanceSlots(balancer, entry.m_holder, m_executors[s], m_weights, m_entryZones, m_connections, m_now);
        }
        for (auto& sending : dueMessages(entry.m_holder, m_now)) {
            const auto to = std::find(m_entryNames.begin(), m_entryNames.end(), sending.m_to) - m_entryNames.begin();
            send(e, static_cast<int>(to), std::move(sending.m_envelope));
        }
    }

    auto send(int from, int to, wire::Envelope envelope) -> void
    {
        m_result.m_messages += from == to ? 0 : 1;
        m_inFlight.push_back({ m_now + Duration { m_messageDelayMs }, from, to, std::move(envelope) });
    }

    auto dispatch() -> void
    {
        for (int s = 0; s < m_workload.m_services; ++s) {
            if (m_policy == SharePolicy::FirstComeFirstServed) {
                dispatchFirstCome(s);
                continue;
            }
            for (int e = 0; e < m_workload.m_entries; ++e)
                dispatchAt(s, e);
        }
    }

    auto dispatchFirstCome(int s) -> void
    {
        auto& sharedQueue = m_sharedQueues[static_cast<std::size_t>(s)];
        auto& busy = m_busySlots[static_cast<std::size_t>(s)];
        const auto capacity = static_cast<int>(m_workload.m_slots) * m_workload.m_executors;
        while (!sharedQueue.empty() && busy < capacity) {
            const auto request = sharedQueue.front();
            sharedQueue.pop_front();
            if (request.m_deadline <= m_now) {
                shedRequest(s, request.m_ticket);
                continue;
            }
            ++busy;
            start(s, 0, request.m_ticket, -1);
        }
    }

    auto dispatchAt(int s, int e) -> void
    {
        auto& entry = m_entries[static_cast<std::size_t>(e)];
        auto& queue = entry.m_queues[static_cast<std::size_t>(s)];
        for (const auto& shed : shedLate(queue, m_now))
            shedRequest(s, shed.m_ticket);
        if (m_policy == SharePolicy::Escrow)
            updateHeldSlots(entry, s);
        while (queue.m_waiting > 0) {
            const auto executor = acquireSlot(entry, s, e);
            if (!executor)
                return;
            const auto request = dispatchNext(
                queue, [](auto) { return true; }, m_now);
            ++entry.m_used[static_cast<std::size_t>(s)];
            start(s, e, request->m_ticket, *executor);
        }
    }

    auto updateHeldSlots(Entry& entry, int s) -> void
    {
        std::uint32_t held = 0;
        for (int x = 0; x < m_workload.m_executors; ++x) {
            const auto found = entry.m_member.m_resources.find(resourceOf(s, x));
            if (found != entry.m_member.m_resources.end())
                held += permitsHeld(found->second);
        }
        const auto shares
            = entry.m_member.m_resources.find(serviceDemandResource(m_services[static_cast<std::size_t>(s)]));
        setSlots(entry.m_queues[static_cast<std::size_t>(s)], held, shares->second.m_shares, m_now);
    }

    auto acquireSlot(Entry& entry, int s, int e) -> std::optional<int>
    {
        if (m_policy == SharePolicy::StaticSplit)
            return entry.m_used[static_cast<std::size_t>(s)] < staticSlots(e) ? std::optional(-1) : std::nullopt;
        for (int x = 0; x < m_workload.m_executors; ++x) {
            if (tryAcquire(entry.m_member, resourceOf(s, x), m_now))
                return x;
        }
        return std::nullopt;
    }

    auto sampleMeters() -> void
    {
        for (std::size_t s = 0; s < m_services.size(); ++s) {
            const auto ofService = [&](const std::vector<int>& counts) {
                return std::span<const int>(counts).subspan(s * teams(), teams());
            };
            if (sample(m_meters[s], ofService(m_running), ofService(m_waiting), ofService(m_started)))
                addPendingDemand(static_cast<int>(s));
        }
    }

    // Adds the requests that run or wait when a second starts to the demand of that second.
    auto addPendingDemand(int s) -> void
    {
        auto& meter = m_meters[static_cast<std::size_t>(s)];
        for (const auto& run : m_runningRequests) {
            if (run.m_service == s)
                addDemand(meter, run.m_team, static_cast<int>((run.m_end - m_now).count()));
        }
        for (const auto& [id, request] : m_waitingRequests) {
            if (request.m_service == s)
                addDemand(meter, request.m_team, request.m_runMs);
        }
    }

    auto result() -> ShareResult
    {
        std::vector<double> distances;
        std::vector<double> sampledDistances;
        auto busy = 0.0;
        auto usable = 0.0;
        for (const auto& meter : m_meters) {
            distances.insert(distances.end(), meter.m_distances.begin(), meter.m_distances.end());
            sampledDistances.insert(
                sampledDistances.end(), meter.m_sampledDistances.begin(), meter.m_sampledDistances.end());
            busy += meter.m_busySlotMs;
            usable += meter.m_usableSlotMs;
            m_result.m_longestUnservedMs = std::max(m_result.m_longestUnservedMs, meter.m_longestUnservedMs);
        }
        const auto quantile = [](std::vector<double>& values, double fraction) {
            if (values.empty())
                return 0.0;
            std::sort(values.begin(), values.end());
            return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
        };
        const auto mean = [](const std::vector<double>& values) {
            const auto sum = std::accumulate(values.begin(), values.end(), 0.0);
            return values.empty() ? 0 : sum / static_cast<double>(values.size());
        };
        m_result.m_saturatedTeamSeconds = distances.size();
        m_result.m_meanDistance = mean(distances);
        m_result.m_sampledMeanDistance = mean(sampledDistances);
        m_result.m_largestDistance = quantile(distances, 1);
        m_result.m_distanceP95 = quantile(distances, 0.95);
        m_result.m_busyFraction = usable > 0 ? busy / usable : 1;
        m_result.m_firstTeamWaitP50Ms = quantile(m_firstTeamWaits, 0.5);
        m_result.m_firstTeamWaitP99Ms = quantile(m_firstTeamWaits, 0.99);
        return m_result;
    }

    const ShareWorkload& m_workload;
    SharePolicy m_policy;
    std::mt19937_64 m_random;
    int m_messageDelayMs;
    Instant m_now { Duration { 1000000 } };
    std::map<std::string, double, std::less<>> m_weights;
    std::map<std::string, std::string, std::less<>> m_entryZones;
    // Maximum number of connections, by entry and executor.
    std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>> m_connections;
    std::map<std::string, int> m_dutyHolders;
    std::vector<std::string> m_services;
    std::vector<std::string> m_resources;
    std::vector<std::vector<SlotExecutor>> m_executors;
    std::vector<std::string> m_entryNames;
    std::vector<Entry> m_entries;
    std::vector<ShareMeter> m_meters;
    std::vector<int> m_running; // Number of requests by service and team, see teamIndex.
    std::vector<int> m_waiting; // Indexed as m_running.
    std::vector<int> m_started; // Indexed as m_running; requests that started in the current millisecond.
    std::vector<std::deque<QueuedRequest>> m_sharedQueues; // By service, for first come, first served.
    std::vector<int> m_busySlots; // By service, for first come, first served.
    std::map<std::uint64_t, WaitingRequest> m_waitingRequests;
    std::uint64_t m_lastTicket = 0;
    std::vector<RunningRequest> m_runningRequests; // A heap with the earliest end at its front.
    std::deque<InFlightMessage> m_inFlight;
    std::vector<double> m_firstTeamWaits;
    ShareResult m_result;
};

} // namespace

auto simulateShares(const ShareWorkload& workload, SharePolicy policy, std::uint64_t seed, int delayMs) -> ShareResult
{
    return ShareSimulation(workload, policy, seed, delayMs).run();
}

} // namespace hemlockvane::bench
