#include "ShareFleet.h"

#include <algorithm>
#include <numeric>

namespace hemlockvane::bench {

namespace {

constexpr Offset firstEpoch = 100;

struct Run {
    Instant m_end;
    int m_entry = 0;
    int m_service = 0;
    int m_team = 0;
    int m_executor = -1;
    int m_runMs = 0;

    auto operator<(const Run& other) const -> bool { return m_end > other.m_end; }
};

struct Ticket {
    int m_service = 0;
    int m_team = 0;
    int m_runMs = 0;
    Instant m_since;
};

struct Entry {
    EscrowHolder m_holder;
    EscrowMember m_member;
    std::vector<RequestQueue> m_queues; // By service.
    std::vector<std::uint32_t> m_used; // By service, for the static split.
    std::map<std::string, SlotBalancer> m_balancers;
};

struct Flight {
    Instant m_at;
    int m_from = 0;
    int m_to = 0;
    wire::Envelope m_envelope;
};

class Fleet {
public:
    Fleet(const ShareWorkload& workload, SharePolicy policy, std::uint64_t seed, int delayMs)
        : m_workload(workload)
        , m_policy(policy)
        , m_random(seed)
        , m_delay(delayMs)
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
            arrive(ms);
            if (m_policy == SharePolicy::Escrow)
                exchange();
            dispatch();
            measure();
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
        m_fifo.emplace_back();
        m_busy.push_back(0);
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
        m_names.push_back("e" + std::to_string(e));
        m_zones[m_names.back()] = "z" + std::to_string(e % m_workload.m_zones);
        for (int x = 0; x < m_workload.m_executors; ++x)
            m_connections[m_names.back()]["x" + std::to_string(x)] = m_workload.m_slots;
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
                memberJoined(m_entries[e].m_holder, m_names[other], other + 1);
            for (const auto& resource : m_resources)
                setCapacity(m_entries[e].m_holder, resource, m_workload.m_slots, m_now);
        }
        for (std::uint32_t d = 0; d < escrowDutyCount; ++d) {
            const auto duty = "escrow/" + std::to_string(d);
            const auto holder = d % m_entries.size();
            m_holders[duty] = static_cast<int>(holder);
            takeDuty(m_entries[holder].m_holder, duty, firstEpoch + d);
            for (auto& entry : m_entries)
                adoptEpoch(entry.m_member, duty, firstEpoch + d);
        }
        for (const auto& service : m_services) {
            auto& holder = m_entries[static_cast<std::size_t>(m_holders[escrowDuty(serviceDemandResource(service))])];
            holder.m_balancers[service].m_service = service;
        }
    }

    auto slotOf(int service, int team) const -> std::size_t
    {
        return static_cast<std::size_t>(service) * teams() + static_cast<std::size_t>(team);
    }

    auto arrive(int ms) -> void
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
        const auto id = ++m_nextTicket;
        m_tickets[id] = { s, t, drawRunMs(team, m_random), m_now };
        addWork(m_meters[static_cast<std::size_t>(s)], t, m_tickets[id].m_runMs);
        const QueuedRequest request { id, team.m_name, false, m_now + Duration { m_workload.m_deadlineMs } };
        ++m_waiting[slotOf(s, t)];
        if (m_policy == SharePolicy::FirstComeFirstServed) {
            submitInOrder(s, request);
            return;
        }
        auto& queue = m_entries[static_cast<std::size_t>(e)].m_queues[static_cast<std::size_t>(s)];
        for (const auto& shed : enqueue(queue, request, m_now))
            drop(s, shed.m_ticket);
    }

    auto submitInOrder(int s, const QueuedRequest& request) -> void
    {
        auto& fifo = m_fifo[static_cast<std::size_t>(s)];
        const auto depth = QueueLimits {}.m_depth * static_cast<std::size_t>(m_workload.m_entries);
        if (fifo.size() >= depth)
            drop(s, request.m_ticket);
        else
            fifo.push_back(request);
    }

    auto drop(int s, std::uint64_t id) -> void
    {
        const auto found = m_tickets.find(id);
        --m_waiting[slotOf(s, found->second.m_team)];
        m_tickets.erase(found);
        ++m_result.m_shed;
    }

    auto start(int s, int e, std::uint64_t id, int executor) -> void
    {
        const auto found = m_tickets.find(id);
        const auto ticket = found->second;
        m_tickets.erase(found);
        m_runs.push_back({ m_now + Duration { ticket.m_runMs }, e, s, ticket.m_team, executor, ticket.m_runMs });
        std::push_heap(m_runs.begin(), m_runs.end());
        --m_waiting[slotOf(s, ticket.m_team)];
        ++m_running[slotOf(s, ticket.m_team)];
        ++m_started[slotOf(s, ticket.m_team)];
        if (ticket.m_team == 0)
            m_quickWaits.push_back(static_cast<double>((m_now - ticket.m_since).count()));
        ++m_result.m_run;
    }

    auto endRuns() -> void
    {
        while (!m_runs.empty() && m_runs.front().m_end <= m_now) {
            std::pop_heap(m_runs.begin(), m_runs.end());
            const auto run = m_runs.back();
            m_runs.pop_back();
            --m_running[slotOf(run.m_service, run.m_team)];
            const auto s = static_cast<std::size_t>(run.m_service);
            if (m_policy == SharePolicy::FirstComeFirstServed) {
                --m_busy[s];
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

    auto exchange() -> void
    {
        std::vector<Flight> due;
        while (!m_flights.empty() && m_flights.front().m_at <= m_now) {
            due.push_back(std::move(m_flights.front()));
            m_flights.pop_front();
        }
        for (const auto& flight : due)
            receive(flight);
        for (std::size_t e = 0; e < m_entries.size(); ++e) {
            reportDemand(m_entries[e]);
            sendAll(static_cast<int>(e));
        }
    }

    auto receive(const Flight& flight) -> void
    {
        auto& entry = m_entries[static_cast<std::size_t>(flight.m_to)];
        const auto& sender = m_names[static_cast<std::size_t>(flight.m_from)];
        const auto& envelope = flight.m_envelope;
        if (envelope.has_escrow_report_request()) {
            wire::Envelope answer;
            *answer.mutable_escrow_report() = *answerReportRequest(
                entry.m_member, envelope.escrow_report_request(), entry.m_holder.m_capacities, m_now);
            send(flight.m_to, flight.m_from, std::move(answer));
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

    auto sendAll(int e) -> void
    {
        auto& entry = m_entries[static_cast<std::size_t>(e)];
        std::map<int, wire::Envelope> demands;
        for (auto& demand : dueDemands(entry.m_member, m_now))
            *demands[m_holders[demand.fence().duty()]].mutable_escrow_demands()->add_demands() = std::move(demand);
        for (auto& [to, envelope] : demands)
            send(e, to, std::move(envelope));
        for (auto& [service, balancer] : entry.m_balancers) {
            const auto s = static_cast<std::size_t>(
                std::find(m_services.begin(), m_services.end(), service) - m_services.begin());
            balanceSlots(balancer, entry.m_holder, m_executors[s], m_weights, m_zones, m_connections, m_now);
        }
        for (auto& sending : dueMessages(entry.m_holder, m_now)) {
            const auto to = std::find(m_names.begin(), m_names.end(), sending.m_to) - m_names.begin();
            send(e, static_cast<int>(to), std::move(sending.m_envelope));
        }
    }

    auto send(int from, int to, wire::Envelope envelope) -> void
    {
        m_result.m_messages += from == to ? 0 : 1;
        m_flights.push_back({ m_now + Duration { m_delay }, from, to, std::move(envelope) });
    }

    auto dispatch() -> void
    {
        for (int s = 0; s < m_workload.m_services; ++s) {
            if (m_policy == SharePolicy::FirstComeFirstServed) {
                dispatchInOrder(s);
                continue;
            }
            for (int e = 0; e < m_workload.m_entries; ++e)
                dispatchAt(s, e);
        }
    }

    auto dispatchInOrder(int s) -> void
    {
        auto& fifo = m_fifo[static_cast<std::size_t>(s)];
        auto& busy = m_busy[static_cast<std::size_t>(s)];
        const auto capacity = static_cast<int>(m_workload.m_slots) * m_workload.m_executors;
        while (!fifo.empty() && busy < capacity) {
            const auto request = fifo.front();
            fifo.pop_front();
            if (request.m_deadline <= m_now) {
                drop(s, request.m_ticket);
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
            drop(s, shed.m_ticket);
        if (m_policy == SharePolicy::Escrow)
            updateSlots(entry, s);
        while (queue.m_waiting > 0) {
            const auto executor = takeSlot(entry, s, e);
            if (!executor)
                return;
            const auto request = dispatchNext(
                queue, [](auto) { return true; }, m_now);
            ++entry.m_used[static_cast<std::size_t>(s)];
            start(s, e, request->m_ticket, *executor);
        }
    }

    auto updateSlots(Entry& entry, int s) -> void
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

    auto takeSlot(Entry& entry, int s, int e) -> std::optional<int>
    {
        if (m_policy == SharePolicy::StaticSplit)
            return entry.m_used[static_cast<std::size_t>(s)] < staticSlots(e) ? std::optional(-1) : std::nullopt;
        for (int x = 0; x < m_workload.m_executors; ++x) {
            if (tryAcquire(entry.m_member, resourceOf(s, x), m_now))
                return x;
        }
        return std::nullopt;
    }

    auto measure() -> void
    {
        for (std::size_t s = 0; s < m_services.size(); ++s) {
            const auto part = [&](const std::vector<int>& counts) {
                return std::span<const int>(counts).subspan(s * teams(), teams());
            };
            if (sample(m_meters[s], part(m_running), part(m_waiting), part(m_started)))
                addPresentWork(static_cast<int>(s));
        }
    }

    // Counts what runs and waits at the start of a second as its demand.
    auto addPresentWork(int s) -> void
    {
        auto& meter = m_meters[static_cast<std::size_t>(s)];
        for (const auto& run : m_runs) {
            if (run.m_service == s)
                addWork(meter, run.m_team, static_cast<int>((run.m_end - m_now).count()));
        }
        for (const auto& [id, ticket] : m_tickets) {
            if (ticket.m_service == s)
                addWork(meter, ticket.m_team, ticket.m_runMs);
        }
    }

    auto result() -> ShareResult
    {
        std::vector<double> distances;
        std::vector<double> sampled;
        auto busy = 0.0;
        auto possible = 0.0;
        for (const auto& meter : m_meters) {
            distances.insert(distances.end(), meter.m_distances.begin(), meter.m_distances.end());
            sampled.insert(sampled.end(), meter.m_sampledDistances.begin(), meter.m_sampledDistances.end());
            busy += meter.m_busy;
            possible += meter.m_busyPossible;
            m_result.m_longestUnservedMs = std::max(m_result.m_longestUnservedMs, meter.m_longestUnservedMs);
        }
        const auto quantile = [](std::vector<double>& values, double part) {
            if (values.empty())
                return 0.0;
            std::sort(values.begin(), values.end());
            return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
        };
        const auto mean = [](const std::vector<double>& values) {
            const auto sum = std::accumulate(values.begin(), values.end(), 0.0);
            return values.empty() ? 0 : sum / static_cast<double>(values.size());
        };
        m_result.m_fullTeamSeconds = distances.size();
        m_result.m_meanDistance = mean(distances);
        m_result.m_sampledMean = mean(sampled);
        m_result.m_largestDistance = quantile(distances, 1);
        m_result.m_distance95 = quantile(distances, 0.95);
        m_result.m_busy = possible > 0 ? busy / possible : 1;
        m_result.m_quickWait50Ms = quantile(m_quickWaits, 0.5);
        m_result.m_quickWait99Ms = quantile(m_quickWaits, 0.99);
        return m_result;
    }

    const ShareWorkload& m_workload;
    SharePolicy m_policy;
    std::mt19937_64 m_random;
    int m_delay;
    Instant m_now { Duration { 1000000 } };
    std::map<std::string, double, std::less<>> m_weights;
    std::map<std::string, std::string, std::less<>> m_zones;
    std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>> m_connections;
    std::map<std::string, int> m_holders;
    std::vector<std::string> m_services;
    std::vector<std::string> m_resources;
    std::vector<std::vector<SlotExecutor>> m_executors;
    std::vector<std::string> m_names;
    std::vector<Entry> m_entries;
    std::vector<ShareMeter> m_meters;
    std::vector<int> m_running;
    std::vector<int> m_waiting;
    std::vector<int> m_started;
    std::vector<std::deque<QueuedRequest>> m_fifo;
    std::vector<int> m_busy;
    std::map<std::uint64_t, Ticket> m_tickets;
    std::uint64_t m_nextTicket = 0;
    std::vector<Run> m_runs; // A heap, the first to end on top.
    std::deque<Flight> m_flights;
    std::vector<double> m_quickWaits;
    ShareResult m_result;
};

} // namespace

auto runShares(const ShareWorkload& workload, SharePolicy policy, std::uint64_t seed, int delayMs) -> ShareResult
{
    return Fleet(workload, policy, seed, delayMs).run();
}

} // namespace hemlockvane::bench
