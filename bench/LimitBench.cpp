#include "hemlockvane/limits.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <exception>
#include <random>
#include <string>
#include <vector>

using namespace hemlockvane;

namespace {

constexpr int entryCount = 9;
constexpr int runMs = 50;
constexpr int virtualMs = 60000;
constexpr int mostWaiting = 20; // At one entry; the others are shed.
constexpr double fullLoad = 2; // Of the limit.
constexpr double halfLoad = 0.5;
constexpr Offset epoch = 100;
const std::string resource = teamLimitResource("team");

struct Node {
    EscrowHolder m_holder;
    EscrowMember m_member;
    int m_waiting = 0;
    std::vector<int> m_runs; // When each ends.
};

struct Flight {
    int m_at;
    int m_from;
    int m_to;
    wire::Envelope m_envelope;
};

// Permits in use while requests wait, as a part of the limit, and the mean wait.
struct LimitResult {
    double m_used = 0;
    double m_waitMs = 0;
};

// One team with an upper limit sends through nine entries, each request through one that is drawn evenly.
class LimitRun {
public:
    LimitRun(std::uint32_t limit, double load, bool escrow, std::uint64_t seed)
        : m_limit(limit)
        , m_arrivals(load * limit / runMs)
        , m_escrow(escrow)
        , m_random(seed)
        , m_nodes(entryCount)
    {
        const auto duty = escrowDuty(resource);
        for (auto& node : m_nodes) {
            for (int i = 0; i < entryCount; ++i)
                memberJoined(node.m_holder, std::to_string(i), static_cast<Offset>(i) + 1);
            setCapacity(node.m_holder, resource, limit, instant());
            adoptEpoch(node.m_member, duty, epoch);
        }
        takeDuty(m_nodes[0].m_holder, duty, epoch);
    }

    auto run() -> LimitResult
    {
        auto used = 0.0;
        auto waiting = 0.0;
        auto started = 0.0;
        auto samples = 0;
        for (m_now = 1; m_now <= virtualMs; ++m_now) {
            for (auto arrivals = std::poisson_distribution(m_arrivals)(m_random); arrivals > 0; --arrivals)
                ++m_nodes[std::uniform_int_distribution<std::size_t>(0, entryCount - 1)(m_random)].m_waiting;
            deliver();
            const auto [running, queued] = work(started);
            waiting += queued;
            if (queued < static_cast<int>(m_limit))
                continue;
            used += running;
            ++samples;
        }
        return { samples == 0 ? 1 : used / samples / m_limit, started == 0 ? 0 : waiting / started };
    }

private:
    auto instant() const -> Instant { return Instant { Duration { m_now + 1000 } }; }

    auto staticLimit(std::size_t i) const -> std::uint32_t
    {
        return m_limit / entryCount + (i < m_limit % entryCount ? 1 : 0);
    }

    auto mayStart(std::size_t i) -> bool
    {
        auto& node = m_nodes[i];
        return m_escrow ? tryAcquire(node.m_member, resource, instant()) : node.m_runs.size() < staticLimit(i);
    }

    auto work(double& started) -> std::pair<int, int>
    {
        auto running = 0;
        auto queued = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& node = m_nodes[i];
            const auto ended = std::erase_if(node.m_runs, [&](auto end) { return end <= m_now; });
            for (std::size_t n = 0; n < ended && m_escrow; ++n)
                release(node.m_member, resource, instant());
            while (node.m_waiting > 0 && mayStart(i)) {
                --node.m_waiting;
                node.m_runs.push_back(m_now + runMs);
                ++started;
            }
            node.m_waiting = std::min(node.m_waiting, mostWaiting);
            running += static_cast<int>(node.m_runs.size());
            queued += node.m_waiting;
            if (m_escrow)
                sendAll(static_cast<int>(i));
        }
        return { running, queued };
    }

    auto sendAll(int i) -> void
    {
        auto& node = m_nodes[static_cast<std::size_t>(i)];
        setDemand(node.m_member, resource,
            static_cast<std::uint32_t>(node.m_runs.size()) + static_cast<std::uint32_t>(node.m_waiting));
        for (auto& demand : dueDemands(node.m_member, instant())) {
            wire::Envelope envelope;
            *envelope.mutable_escrow_demands()->add_demands() = std::move(demand);
            m_flights.push_back({ m_now + 1, i, 0, std::move(envelope) });
        }
        for (auto& sending : dueMessages(node.m_holder, instant()))
            m_flights.push_back({ m_now + 1, i, std::stoi(sending.m_to), std::move(sending.m_envelope) });
    }

    auto deliver() -> void
    {
        for (; !m_flights.empty() && m_flights.front().m_at <= m_now; m_flights.pop_front())
            receive(m_flights.front());
    }

    auto receive(const Flight& flight) -> void
    {
        auto& node = m_nodes[static_cast<std::size_t>(flight.m_to)];
        const auto sender = std::to_string(flight.m_from);
        if (flight.m_envelope.has_escrow_report_request()) {
            wire::Envelope answer;
            *answer.mutable_escrow_report() = *answerReportRequest(
                node.m_member, flight.m_envelope.escrow_report_request(), node.m_holder.m_capacities, instant());
            m_flights.push_back({ m_now + 1, flight.m_to, flight.m_from, std::move(answer) });
        }
        if (flight.m_envelope.has_escrow_report())
            receiveReport(node.m_holder, sender, flight.m_envelope.escrow_report());
        for (const auto& demand : flight.m_envelope.escrow_demands().demands())
            receiveDemand(node.m_holder, sender, demand);
        for (const auto& grant : flight.m_envelope.escrow_grants().grants())
            receiveGrant(node.m_member, grant, instant());
    }

    std::uint32_t m_limit;
    double m_arrivals; // In a millisecond.
    bool m_escrow;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::deque<Flight> m_flights;
    int m_now = 0;
};

auto run(int argc, char** argv) -> void
{
    TCLAP::CmdLine commandLine("Measures what small upper limits lose to unused permits over 9 entries", ' ', "1");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed", false, 1, "number", commandLine);
    commandLine.parse(argc, argv);
    std::printf("| limit | escrow: used %% | static split: used %% | escrow: mean wait ms at half the load |\n"
                "|---|---|---|---|\n");
    for (std::uint32_t limit = 1; limit <= 10; ++limit) {
        const auto measure
            = [&](double load, bool escrow) { return LimitRun(limit, load, escrow, seed.getValue()).run(); };
        std::printf("| %u | %.1f | %.1f | %.1f |\n", limit, 100 * measure(fullLoad, true).m_used,
            100 * measure(fullLoad, false).m_used, measure(halfLoad, true).m_waitMs);
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        run(argc, argv);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "LimitBench: %s\n", error.what());
        return 1;
    }
}
