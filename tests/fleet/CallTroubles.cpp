#include "CallTroubles.h"

#include "FleetMachines.h"
#include "FleetRecord.h"

#include "hemlockvane/detail/async/Signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace hemlockvane::fleetrun {

namespace asio = boost::asio;

CallTroubles::CallTroubles(asio::io_context& context, FleetRecord& record, FleetMachines& machines, std::uint64_t seed)
    : m_context(context)
    , m_record(record)
    , m_machines(machines)
    , m_random(seed)
{
}

auto CallTroubles::play(std::string_view name, std::int64_t until) -> bool
{
    static const std::pair<std::string_view, Kind> kinds[] = {
        { "paused", &CallTroubles::paused },
        { "long-mute", &CallTroubles::longMute },
        { "slow-clocks", &CallTroubles::slowClocks },
        { "slow-stops", &CallTroubles::slowStops },
        { "slow-answers", &CallTroubles::slowAnswers },
        { "refusals", &CallTroubles::refusals },
        { "errors", &CallTroubles::errors },
        { "failures", &CallTroubles::failures },
        { "lapses", &CallTroubles::lapses },
        { "reborn", &CallTroubles::reborn },
        { "recut", &CallTroubles::recut },
        { "recut-soon", &CallTroubles::recutSoon },
    };
    for (const auto& [known, kind] : kinds) {
        if (known == name) {
            asio::co_spawn(m_context, (this->*kind)(until), asio::detached);
            return true;
        }
    }
    return false;
}

auto CallTroubles::between(std::int64_t least, std::int64_t most) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t> { least, most }(m_random);
}

auto CallTroubles::pause(std::int64_t leastMs, std::int64_t mostMs) -> asio::awaitable<void>
{
    const Duration time { between(leastMs, mostMs) };
    co_await detail::sleepFor(time);
}

auto CallTroubles::isOver(std::int64_t until) const -> bool { return m_isOver || m_record.now() >= until; }

// An executor with runs; any other one if few have some.
auto CallTroubles::atWork() -> std::shared_ptr<FleetExecutor>
{
    constexpr int draws = 20;
    auto& machines = m_machines.machines();
    auto executor = machines[m_random() % machines.size()].m_executor;
    for (int i = 0; i < draws && executor->runCount() == 0; ++i)
        executor = machines[m_random() % machines.size()].m_executor;
    return executor;
}

auto CallTroubles::setAll(double ExecutorFaults::*fault, double value) -> void
{
    for (auto& machine : m_machines.machines())
        machine.m_executor->m_faults.*fault = value;
}

auto CallTroubles::setInTurns(double ExecutorFaults::*fault, double value, std::int64_t until) -> asio::awaitable<void>
{
    while (!isOver(until)) {
        setAll(fault, value);
        co_await pause(2000, 6000);
        setAll(fault, 0);
        co_await pause(500, 2000);
    }
}

// Executors at work stand still as a process, also beyond their lease.
auto CallTroubles::paused(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(100, 800);
        if (isOver(until))
            co_return;
        const auto executor = atWork();
        executor->m_faults.m_isPaused = true;
        m_record.write(executor->place().m_id, "paused");
        const Duration time { between(500, 8000) };
        asio::co_spawn(
            m_context,
            [](auto stopped, auto wait, FleetRecord& record) -> asio::awaitable<void> {
                co_await detail::sleepFor(wait);
                stopped->m_faults.m_isPaused = false;
                record.write(stopped->place().m_id, "goes on");
            }(executor, time, m_record),
            asio::detached);
    }
}

// Executors at work carry out what they get while their answers are held back, longer than a lease.
auto CallTroubles::longMute(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(300, 1500);
        if (isOver(until))
            co_return;
        const auto executor = atWork();
        executor->m_faults.m_isMute = true;
        m_record.write(executor->place().m_id, "answers are held back");
        const Duration time { between(5000, 10000) };
        asio::co_spawn(
            m_context,
            [](auto mute, auto wait, FleetRecord& record) -> asio::awaitable<void> {
                co_await detail::sleepFor(wait);
                mute->m_faults.m_isMute = false;
                record.write(mute->place().m_id, "answers get through");
            }(executor, time, m_record),
            asio::detached);
    }
}

auto CallTroubles::slowClocks(std::int64_t until) -> asio::awaitable<void>
{
    while (!isOver(until)) {
        for (auto& machine : m_machines.machines())
            machine.m_executor->setClockRate(0.98 + static_cast<double>(between(0, 20)) / 1000);
        co_await pause(3000, 6000);
    }
}

auto CallTroubles::slowStops(std::int64_t until) -> asio::awaitable<void>
{
    while (!isOver(until)) {
        for (auto& machine : m_machines.machines())
            machine.m_executor->m_faults.m_stopsSlowly = true;
        co_await pause(500, 1000);
    }
}

auto CallTroubles::slowAnswers(std::int64_t until) -> asio::awaitable<void>
{
    while (!isOver(until)) {
        for (auto& machine : m_machines.machines())
            machine.m_executor->m_faults.m_answerDelayMs = between(0, 3) == 0 ? between(100, 600) : 0;
        co_await pause(1000, 3000);
    }
}

auto CallTroubles::refusals(std::int64_t until) -> asio::awaitable<void>
{
    co_await setInTurns(&ExecutorFaults::m_refusal, 0.2, until);
}

auto CallTroubles::errors(std::int64_t until) -> asio::awaitable<void>
{
    co_await setInTurns(&ExecutorFaults::m_error, 0.05, until);
}

auto CallTroubles::failures(std::int64_t until) -> asio::awaitable<void>
{
    co_await setInTurns(&ExecutorFaults::m_failure, 0.1, until);
}

// Executors at work are out of reach until about the end of their lease, and then answer late.
auto CallTroubles::lapses(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(100, 600);
        if (isOver(until))
            co_return;
        const auto executor = atWork();
        executor->m_faults.m_isCut = true;
        m_record.write(executor->place().m_id, "cut off until about its lease's end");
        const Duration time { between(1500, 6500) };
        asio::co_spawn(
            m_context,
            [](auto late, auto wait, FleetRecord& record) -> asio::awaitable<void> {
                constexpr std::int64_t delayMs = 500;
                co_await detail::sleepFor(wait);
                late->m_faults.m_answerDelayMs = delayMs;
                late->m_faults.m_isCut = false;
                record.write(late->place().m_id, "reachable, answers late");
                co_await detail::sleepFor(Duration { 2 * delayMs });
                late->m_faults.m_answerDelayMs = 0;
            }(executor, time, m_record),
            asio::detached);
    }
}

// Executors crash and are back under their id while nothing reaches them.
auto CallTroubles::reborn(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(100, 800);
        if (isOver(until))
            co_return;
        const auto index = static_cast<std::size_t>(m_random() % m_machines.machines().size());
        const auto executor = m_machines.machines()[index].m_executor;
        if (!executor->isUp() || executor->m_faults.m_isCut)
            continue;
        executor->m_faults.m_isCut = true;
        m_record.write(executor->place().m_id, "cut off");
        const Duration before { between(0, 3000) };
        const Duration down { between(1, 1500) };
        const Duration after { between(0, 2000) };
        asio::co_spawn(
            m_context,
            [](auto cut, auto& machines, std::size_t machine, Duration untilCrash, Duration away, Duration rest,
                FleetRecord& record) -> asio::awaitable<void> {
                co_await detail::sleepFor(untilCrash);
                if (machines.machines()[machine].m_executor == cut && cut->isUp())
                    co_await machines.crashAndReturn(machine, away);
                co_await detail::sleepFor(rest);
                cut->m_faults.m_isCut = false;
                record.write(cut->place().m_id, "reachable");
            }(executor, m_machines, index, before, down, after, m_record),
            asio::detached);
    }
}

auto CallTroubles::recut(std::int64_t until) -> asio::awaitable<void>
{
    constexpr std::int64_t upMs = 2000;
    co_await recutZones(until, upMs, upMs);
}

// Most of them before any answer to a call that was meant for their present life.
auto CallTroubles::recutSoon(std::int64_t until) -> asio::awaitable<void>
{
    constexpr std::int64_t mostUpMs = 400;
    co_await recutZones(until, 0, mostUpMs);
}

// The executors of one zone lose power for a moment, are back under their ids, and are cut off soon after.
auto CallTroubles::recutZones(std::int64_t until, std::int64_t leastUpMs, std::int64_t mostUpMs)
    -> asio::awaitable<void>
{
    const auto& machines = m_machines.machines();
    while (!isOver(until)) {
        co_await pause(2000, 4000);
        const auto zone = machines[m_random() % machines.size()].m_zone;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            if (machines[i].m_zone == zone && machines[i].m_executor->isUp())
                asio::co_spawn(m_context, recutOne(i, between(leastUpMs, mostUpMs)), asio::detached);
        }
        co_await pause(11000, 12000);
    }
}

auto CallTroubles::recutOne(std::size_t machine, std::int64_t upMs) -> asio::awaitable<void>
{
    constexpr std::int64_t leadMs = 1000; // Calls of this time before may be carried out by the next life.
    constexpr std::int64_t downMs = 600;
    constexpr std::int64_t cutMs = 9000;
    const auto executor = m_machines.machines()[machine].m_executor;
    executor->m_faults.m_lateCall = 0.6;
    co_await detail::sleepFor(Duration { leadMs });
    if (m_machines.machines()[machine].m_executor == executor && executor->isUp())
        co_await m_machines.goDarkAndReturn(machine, Duration { downMs }, between(0, 1) == 1);
    executor->m_faults.m_lateCall = 0;
    co_await detail::sleepFor(Duration { upMs });
    executor->m_faults.m_isCut = true;
    m_record.write(executor->place().m_id, "cut off");
    co_await detail::sleepFor(Duration { cutMs });
    executor->m_faults.m_isCut = false;
    m_record.write(executor->place().m_id, "reachable");
}

} // namespace hemlockvane::fleetrun
