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
constexpr int simulatedMs = 60000;
constexpr int maxWaitingPerEntry = 20; // Further requests are shed.
constexpr double fullLoad = 2; // Offered load as a multiple of the limit.
constexpr double halfLoad = 0.5;
constexpr Offset epoch = 100;
const std::string resource = teamLimitResource("team");

struct SimulatedEntry {
    EscrowHolder m_holder;
    EscrowMember m_member;
    int m_waiting = 0;
    std::vector<int> m_runEnds; // End time of each running request, ms.
};

struct InFlightMessage {
    int m_deliverAt;
    int m_from;
    int m_to;
    wire::Envelope m_envelope;
};

struct LimitResult {
    // Permits in use over the limit, in the milliseconds in which at least as many requests wait as the limit allows.
    double m_usedFraction = 0;
    double m_meanWaitMs = 0; // Of started requests.
};

// Simulates one team with an upper limit that sends each request through one of nine entries, chosen uniformly.
class LimitSimulation {
public:
    LimitSimulation(std::uint32_t limit, double load, bool escrow, std::uint64_t seed)
        : m_limit(limit)
        , m_arrivalsPerMs(load * limit / runMs)
        , m_escrow(escrow)
        , m_random(seed)
        , m_entries(entryCount)
    {
        const auto duty = escrowDuty(resource);
        for (auto& entry : m_entries) {
            for (int i = 0; i < entryCount; ++i)
                memberJoined(entry.m_holder, std::to_string(i), static_cast<Offset>(i) + 1);
            setCapacity(entry.m_holder, resource, limit, instant());
            adoptEpoch(entry.m_member, duty, epoch);
        }
        takeDuty(m_entries[0].m_holder, duty, epoch);
    }

    auto run() -> LimitResult
    {
        auto used = 0.0;
        auto waiting = 0.0;
        auto started = 0.0;
        auto samples = 0;
        for (m_now = 1; m_now <= simulatedMs; ++m_now) {
            for (auto arrivals = std::poisson_distribution(m_arrivalsPerMs)(m_random); arrivals > 0; --arrivals)
                ++m_entries[std::uniform_int_distribution<std::size_t>(0, entryCount - 1)(m_random)].m_waiting;
            deliver();
            const auto [running, queued] = serveRequests(started);
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

    auto tryStart(std::size_t i) -> bool
    {
        auto& entry = m_entries[i];
        return m_escrow ? tryAcquire(entry.m_member, resource, instant()) : entry.m_runEnds.size() < staticLimit(i);
    }

    auto serveRequests(double& started) -> std::pair<int, int>
    {
        auto running = 0;
        auto queued = 0;
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            auto& entry = m_entries[i];
            const auto ended = std::erase_if(entry.m_runEnds, [&](auto end) { return end <= m_now; });
            for (std::size_t n = 0; n < ended && m_escrow; ++n)
                release(entry.m_member, resource, instant());
            while (entry.m_waiting > 0 && tryStart(i)) {
                --entry.m_waiting;
                entry.m_runEnds.push_back(m_now + runMs);
                ++started;
            }
            entry.m_waiting = std::min(entry.m_waiting, maxWaitingPerEntry);
            running += static_cast<int>(entry.m_runEnds.size());
            queued += entry.m_waiting;
            if (m_escrow)
                sendMessages(static_cast<int>(i));
        }
        return { running, queued };
    }

    auto sendMessages(int i) -> void
    {
        auto& entry = m_entries[static_cast<std::size_t>(i)];
        setDemand(entry.m_member, resource,
            static_cast<std::uint32_t>(entry.m_runEnds.size()) + static_cast<std::uint32_t>(entry.m_waiting));
        for (auto& demand : dueDemands(entry.m_member, instant())) {
            wire::Envelope envelope;
            *envelope.mutable_escrow_demands()->add_demands() = std::move(demand);
            m_inFlight.push_back({ m_now + 1, i, 0, std::move(envelope) });
        }
        for (auto& sending : dueMessages(entry.m_holder, instant()))
            m_inFlight.push_back({ m_now + 1, i, std::stoi(sending.m_to), std::move(sending.m_envelope) });
    }

    auto deliver() -> void
    {
        for (; !m_inFlight.empty() && m_inFlight.front().m_deliverAt <= m_now; m_inFlight.pop_front())
            receive(m_inFlight.front());
    }

    auto receive(const InFlightMessage& message) -> void
    {
        auto& entry = m_entries[static_cast<std::size_t>(message.m_to)];
        const auto sender = std::to_string(message.m_from);
        if (message.m_envelope.has_escrow_report_request()) {
            wire::Envelope answer;
            *answer.mutable_escrow_report() = *answerReportRequest(
                entry.m_member, message.m_envelope.escrow_report_request(), entry.m_holder.m_capacities, instant());
            m_inFlight.push_back({ m_now + 1, message.m_to, message.m_from, std::move(answer) });
        }
        if (message.m_envelope.has_escrow_report())
            receiveReport(entry.m_holder, sender, message.m_envelope.escrow_report());
        for (const auto& demand : message.m_envelope.escrow_demands().demands())
            receiveDemand(entry.m_holder, sender, demand);
        for (const auto& grant : message.m_envelope.escrow_grants().grants())
            receiveGrant(entry.m_member, grant, instant());
    }

    std::uint32_t m_limit;
    double m_arrivalsPerMs;
    bool m_escrow;
    std::mt19937_64 m_random;
    std::vector<SimulatedEntry> m_entries;
    std::deque<InFlightMessage> m_inFlight;
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
            = [&](double load, bool escrow) { return LimitSimulation(limit, load, escrow, seed.getValue()).run(); };
        std::printf("| %u | %.1f | %.1f | %.1f |\n", limit, 100 * measure(fullLoad, true).m_usedFraction,
            100 * measure(fullLoad, false).m_usedFraction, measure(halfLoad, true).m_meanWaitMs);
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
