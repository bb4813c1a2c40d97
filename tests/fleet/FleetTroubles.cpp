#include "FleetTroubles.h"

#include "FleetClients.h"
#include "FleetInstances.h"
#include "FleetMachines.h"
#include "FleetRecord.h"

#include "hemlockvane/detail/async/Signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>
#include <vector>

namespace hemlockvane::fleetrun {

namespace asio = boost::asio;

namespace {

// Whether a kind notes each of its disruptions, or is none. The others count as one that lasts until the end.
auto notesDisruptions(std::string_view kind) -> bool
{
    return kind == "store-away" || kind == "waves" || kind == "configurations" || kind == "evacuations"
        || kind == "hostile-clients" || kind == "large-jobs";
}

} // namespace

FleetTroubles::FleetTroubles(asio::io_context& context, FleetRecord& record, FleetInstances& instances,
    FleetMachines& machines, FleetClients& clients, StoreFaults& store, std::uint64_t seed)
    : m_context(context)
    , m_record(record)
    , m_instances(instances)
    , m_machines(machines)
    , m_clients(clients)
    , m_store(store)
    , m_random(seed)
    , m_calls(context, record, machines, seed)
{
}

auto FleetTroubles::kindOf(std::string_view name) const -> Kind
{
    static const std::pair<std::string_view, Kind> kinds[] = {
        { "idle-crash", &FleetTroubles::idleCrash },
        { "blink", &FleetTroubles::blink },
        { "crash", &FleetTroubles::crash },
        { "cut", &FleetTroubles::cut },
        { "mute", &FleetTroubles::mute },
        { "lost-answers", &FleetTroubles::lostAnswers },
        { "late-orders", &FleetTroubles::lateOrders },
        { "owner-kill", &FleetTroubles::ownerKill },
        { "owner-pause", &FleetTroubles::ownerPause },
        { "owner-term", &FleetTroubles::ownerTerm },
        { "store", &FleetTroubles::storeTrouble },
        { "store-away", &FleetTroubles::storeAway },
        { "list-away", &FleetTroubles::listAway },
        { "hang-and-lose", &FleetTroubles::hangAndLose },
    };
    for (const auto& [known, kind] : kinds) {
        if (known == name)
            return kind;
    }
    return nullptr;
}

auto FleetTroubles::play(std::string names, std::int64_t until) -> asio::awaitable<void>
{
    std::istringstream list(names);
    for (std::string name; std::getline(list, name, ',');) {
        const auto kind = kindOf(name);
        if (!notesDisruptions(name))
            m_record.beginDisruption();
        if (m_calls.play(name, until))
            continue;
        if (kind == nullptr)
            m_record.write("troubles", "unknown: " + name);
        else
            asio::co_spawn(m_context, (this->*kind)(until), asio::detached);
    }
    co_return;
}

auto FleetTroubles::end() -> asio::awaitable<void>
{
    m_isOver = true;
    m_calls.end();
    m_store.m_isDown = false;
    m_store.m_isSilent = false;
    m_store.m_delayMs = 0;
    m_store.m_lostPercent = 0;
    m_machines.m_isBusy = false;
    m_machines.m_listDelay = {};
    for (auto& machine : m_machines.machines())
        machine.m_executor->m_faults = {};
    for (std::size_t i = 0; i < m_instances.instances().size(); ++i) {
        m_instances.signal(i, SIGCONT);
        m_instances.start(i);
    }
    m_record.endDisruptions();
    co_return;
}

auto FleetTroubles::between(std::int64_t least, std::int64_t most) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t> { least, most }(m_random);
}

auto FleetTroubles::pause(std::int64_t leastMs, std::int64_t mostMs) -> asio::awaitable<void>
{
    const Duration time { between(leastMs, mostMs) };
    co_await detail::sleepFor(time);
}

auto FleetTroubles::isOver(std::int64_t until) const -> bool { return m_isOver || m_record.now() >= until; }

auto FleetTroubles::anyMachine() -> std::size_t { return m_random() % m_machines.machines().size(); }

auto FleetTroubles::owner() -> std::size_t
{
    const auto& starters = m_record.m_starterByFence;
    const auto& instances = m_instances.instances();
    const auto found = starters.empty() ? instances.end()
                                        : std::find_if(instances.begin(), instances.end(), [&](const auto& instance) {
                                              return instance.m_name == starters.rbegin()->second;
                                          });
    return found == instances.end() ? m_random() % instances.size()
                                    : static_cast<std::size_t>(found - instances.begin());
}

// Idle executors of the queue whose turn comes next crash, and are back just before or after it begins.
auto FleetTroubles::idleCrash(std::int64_t until) -> asio::awaitable<void>
{
    constexpr std::int64_t leadMs = 900;
    while (!m_isOver) {
        const auto turnAt = m_clients.nextTurnAt(m_record.now());
        if (turnAt >= until)
            co_return;
        co_await detail::sleepFor(Duration { std::max<std::int64_t>(turnAt - leadMs - m_record.now(), 0) });
        const auto service = m_clients.serviceInTurn(turnAt);
        for (std::size_t i = 0; i < m_machines.machines().size(); ++i) {
            const auto& machine = m_machines.machines()[i];
            if (machine.m_pool != service || !machine.m_executor->isUp() || machine.m_executor->runCount() > 0
                || m_random() % 8 == 0)
                continue;
            const Duration down { leadMs + between(-100, 300) };
            asio::co_spawn(m_context, m_machines.crashAndReturn(i, down), asio::detached);
        }
        co_await detail::sleepFor(Duration { leadMs + 100 });
    }
}

// Executors at work crash and are back within milliseconds.
auto FleetTroubles::blink(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(20, 200);
        if (isOver(until))
            co_return;
        const auto machine = anyMachine();
        const auto& executor = m_machines.machines()[machine].m_executor;
        if (executor->isUp() && executor->runCount() > 0)
            asio::co_spawn(m_context, m_machines.crashAndReturn(machine, Duration { between(1, 30) }), asio::detached);
    }
}

auto FleetTroubles::crash(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(200, 1200);
        if (isOver(until))
            co_return;
        const auto machine = anyMachine();
        const Duration down { m_random() % 2 == 0 ? between(20, 300) : between(300, 6000) };
        if (m_machines.machines()[machine].m_executor->isUp())
            asio::co_spawn(m_context, m_machines.crashAndReturn(machine, down), asio::detached);
    }
}

auto FleetTroubles::cut(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(200, 2000);
        if (isOver(until))
            co_return;
        const auto executor = m_machines.machines()[anyMachine()].m_executor;
        executor->m_faults.m_isCut = true;
        m_record.write(executor->place().m_id, "cut off");
        co_await pause(200, 7000);
        executor->m_faults.m_isCut = false;
        m_record.write(executor->place().m_id, "reachable");
    }
}

auto FleetTroubles::mute(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(200, 2000);
        if (isOver(until))
            co_return;
        const auto executor = m_machines.machines()[anyMachine()].m_executor;
        executor->m_faults.m_isMute = true;
        m_record.write(executor->place().m_id, "answers are lost");
        co_await pause(200, 7000);
        executor->m_faults.m_isMute = false;
        m_record.write(executor->place().m_id, "answers get through");
    }
}

auto FleetTroubles::lostAnswers(std::int64_t until) -> asio::awaitable<void>
{
    while (!isOver(until)) {
        for (auto& machine : m_machines.machines())
            machine.m_executor->m_faults.m_lostAnswer = 0.05;
        co_await pause(2000, 6000);
        for (auto& machine : m_machines.machines())
            machine.m_executor->m_faults.m_lostAnswer = 0;
        co_await pause(500, 3000);
    }
}

auto FleetTroubles::lateOrders(std::int64_t until) -> asio::awaitable<void>
{
    while (!isOver(until)) {
        for (auto& machine : m_machines.machines())
            machine.m_executor->m_faults.m_lateOrder = 0.06;
        co_await pause(2000, 6000);
        for (auto& machine : m_machines.machines())
            machine.m_executor->m_faults.m_lateOrder = 0;
        co_await pause(500, 3000);
    }
}

auto FleetTroubles::ownerKill(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(2000, 7000);
        if (isOver(until))
            co_return;
        const auto index = owner();
        m_instances.signal(index, SIGKILL);
        co_await pause(100, 3000);
        m_instances.start(index);
    }
}

auto FleetTroubles::ownerPause(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(2000, 7000);
        if (isOver(until))
            co_return;
        const auto index = owner();
        m_instances.signal(index, SIGSTOP);
        co_await pause(200, 7000);
        m_instances.signal(index, SIGCONT);
    }
}

auto FleetTroubles::ownerTerm(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(1000, 4000);
        if (isOver(until))
            co_return;
        const auto index = owner();
        m_instances.signal(index, SIGTERM);
        co_await pause(6000, 7000);
        m_instances.signal(index, SIGKILL);
        m_instances.start(index);
    }
}

auto FleetTroubles::storeTrouble(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(1500, 5000);
        if (isOver(until))
            co_return;
        const auto kind = between(0, 2);
        m_record.write("store", kind == 0 ? "down" : kind == 1 ? "slow" : "loses answers");
        m_record.disturb(FleetRecord::store, FleetRecord::lasting);
        m_store.m_isDown = kind == 0;
        m_store.m_delayMs = kind == 1 ? 200 : 0;
        m_store.m_lostPercent = kind == 2 ? 30 : 0;
        co_await pause(500, 5000);
        if (m_isOver)
            co_return;
        m_record.write("store", "sound");
        m_record.disturb(FleetRecord::store, m_record.now());
        m_store.m_isDown = false;
        m_store.m_delayMs = 0;
        m_store.m_lostPercent = 0;
    }
}

// The store is away longer than most leases, for everybody at the same time.
auto FleetTroubles::storeAway(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(7000, 11000);
        if (isOver(until))
            co_return;
        const auto isSilent = between(0, 1) == 1;
        m_machines.m_doEntriesExpire = between(0, 1) == 1;
        m_record.write("store", isSilent ? "silent" : "down");
        m_record.disturb(FleetRecord::store, FleetRecord::lasting);
        m_record.beginDisruption();
        m_store.m_isSilent = isSilent;
        m_store.m_isDown = !isSilent;
        co_await pause(4000, 10000);
        if (m_isOver)
            co_return;
        m_store.m_isSilent = false;
        m_store.m_isDown = false;
        m_record.write("store", "sound");
        m_record.disturb(FleetRecord::store, m_record.now());
        m_record.endDisruption();
    }
}

// The list of machines is refused, or late by less than the time for which the owner waits for it.
auto FleetTroubles::listAway(std::int64_t until) -> asio::awaitable<void>
{
    while (true) {
        co_await pause(500, 3000);
        if (isOver(until))
            co_return;
        m_machines.m_isBusy = between(0, 1) == 1;
        m_machines.m_listDelay = Duration { m_machines.m_isBusy ? 0 : between(300, 950) };
        m_record.write("machines", m_machines.m_isBusy ? "refuse lists and orders" : "list late");
        co_await pause(1000, 5000);
        m_machines.m_isBusy = false;
        m_machines.m_listDelay = {};
        m_record.write("machines", "sound");
    }
}

// Executors answer nothing, start again meanwhile, and some are lost for good.
auto FleetTroubles::hangAndLose(std::int64_t until) -> asio::awaitable<void>
{
    constexpr int mayBeLost = 3;
    for (int lost = 0;;) {
        co_await pause(1500, 4000);
        if (isOver(until))
            co_return;
        const auto machine = anyMachine();
        const auto executor = m_machines.machines()[machine].m_executor;
        if (!executor->isUp())
            continue;
        executor->m_faults.m_isCut = true;
        m_record.write(executor->place().m_id, "hangs");
        co_await pause(300, 1500);
        co_await m_machines.goDarkAndReturn(machine, Duration { between(100, 600) }, true);
        co_await pause(300, 2000);
        executor->m_faults.m_isCut = false;
        if (lost == mayBeLost || m_machines.machines()[machine].m_executor != executor || m_isOver)
            continue;
        ++lost;
        m_machines.lose(machine);
    }
}

} // namespace hemlockvane::fleetrun
