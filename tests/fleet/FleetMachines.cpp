#include "FleetMachines.h"

#include "FleetRecord.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace hemlockvane::fleetrun {

namespace asio = boost::asio;
namespace json = boost::json;
using standins::StandinAnswer;

namespace {

constexpr Duration moveTime { 1500 };
constexpr Duration upkeepTime { 2000 };
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t silentBeats = 3; // Until the registry drops an entry.
constexpr Duration beatCheck { 50 };
constexpr unsigned statusOk = 200;
constexpr unsigned statusBad = 400;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;

auto jsonAnswer(unsigned status, const json::object& body) -> StandinAnswer
{
    return { { status, { { "Content-Type", "application/json" } }, json::serialize(body) },
        standins::Delivery::Complete };
}

auto headerOf(const detail::HttpRequest& request, std::string_view name) -> std::string
{
    for (const auto& header : request.m_headers) {
        if (header.m_name == name)
            return header.m_value;
    }
    return {};
}

} // namespace

FleetMachines::FleetMachines(
    asio::io_context& context, FleetRecord& record, const FactsByStep& facts, Publish publish, std::uint64_t seed)
    : m_context(context)
    , m_record(record)
    , m_facts(facts)
    , m_publish(std::move(publish))
    , m_random(seed)
{
}

auto FleetMachines::addPools(const FleetSite& site, std::uint16_t port) -> bool
{
    m_site = site;
    for (const auto& pool : site.m_pools) {
        for (std::size_t i = 0; i < pool.m_executors; ++i) {
            const auto number = m_machines.size() + 1;
            std::array<char, 16> name {};
            std::snprintf(name.data(), name.size(), "m-%08zx", number);
            FleetMachine machine;
            machine.m_id = name.data();
            machine.m_pool = pool.m_service;
            machine.m_zone = site.m_zones[i % site.m_zones.size()];
            machine.m_rack = "r" + std::to_string(number / site.m_perRack + 1);
            machine.m_address = "127.2.0." + std::to_string(number) + ":" + std::to_string(port);
            m_machines.push_back(std::move(machine));
            if (!newExecutor(m_machines.back()))
                return false;
        }
    }
    return true;
}

auto FleetMachines::newExecutor(FleetMachine& machine) -> bool
{
    std::array<char, 16> name {};
    std::snprintf(name.data(), name.size(), "i-%08x", static_cast<unsigned>(m_random()));
    ExecutorPlace place { name.data(), machine.m_id, machine.m_pool, machine.m_zone, machine.m_rack, machine.m_address,
        m_site.m_executorCpu, m_site.m_executorMemoryMb, m_site.m_longestHoldMs, m_site.m_longestStopMs };
    if (machine.m_executor)
        m_pastExecutors.push_back(machine.m_executor);
    machine.m_executor = std::make_shared<FleetExecutor>(m_context, std::move(place), m_record, m_facts, m_random());
    machine.m_executor->m_starterOf = [this](std::int64_t fence) { return m_starterOf(fence); };
    if (!machine.m_executor->start())
        return false;
    publish(*machine.m_executor);
    return true;
}

auto FleetMachines::publish(const FleetExecutor& executor) -> void
{
    auto& beat = m_beats[executor.place().m_id];
    beat.m_sentAt = m_record.now();
    if (m_isStoreAway())
        return;
    beat.m_storedAt = beat.m_sentAt;
    beat.m_hasExpired = false;
    m_publish(executor.place().m_id, const_cast<FleetExecutor&>(executor).entry());
}

// The time without the store counts only if entries expire in it.
auto FleetMachines::expire(const std::string& id, Beat& beat) -> void
{
    const auto heardAt = m_doEntriesExpire ? beat.m_storedAt : std::max(beat.m_storedAt, m_storeAwayAt);
    if (beat.m_hasExpired || m_record.now() - heardAt < heartbeatMs * silentBeats)
        return;
    beat.m_hasExpired = true;
    m_publish(id, {});
}

auto FleetMachines::heartbeats() -> asio::awaitable<void>
{
    while (true) {
        co_await detail::sleepFor(beatCheck);
        if (m_isStoreAway())
            m_storeAwayAt = m_record.now();
        for (auto& machine : m_machines) {
            const auto& id = machine.m_executor->place().m_id;
            auto& beat = m_beats[id];
            const auto isDue = m_record.now() - beat.m_sentAt >= heartbeatMs;
            if (isDue && machine.m_executor->isUp() && !machine.m_executor->m_faults.m_isCut)
                publish(*machine.m_executor);
            expire(id, beat);
        }
    }
}

auto FleetMachines::crashAndReturn(std::size_t machine, Duration down) -> asio::awaitable<void>
{
    m_machines[machine].m_executor->crash();
    co_await returnAfter(machine, down, true);
}

auto FleetMachines::goDarkAndReturn(std::size_t machine, Duration down, bool isListedAtOnce) -> asio::awaitable<void>
{
    m_machines[machine].m_executor->goDark();
    co_await returnAfter(machine, down, isListedAtOnce);
}

auto FleetMachines::returnAfter(std::size_t machine, Duration down, bool isListedAtOnce) -> asio::awaitable<void>
{
    const auto executor = m_machines[machine].m_executor;
    co_await detail::sleepFor(down);
    if (m_machines[machine].m_executor != executor || executor->isUp() || m_machines[machine].m_state != "up")
        co_return;
    if (executor->start() && isListedAtOnce)
        publish(*executor);
}

auto FleetMachines::lose(std::size_t machine) -> void { m_machines[machine].m_executor->goDark(); }

auto FleetMachines::takeAway(std::size_t index, const std::string& state, Duration time) -> asio::awaitable<void>
{
    auto& machine = m_machines[index];
    machine.m_state = state;
    machine.m_executor->crash();
    m_publish(machine.m_executor->place().m_id, {});
    co_await detail::sleepFor(time);
    machine.m_state = "up";
    newExecutor(machine);
}

auto FleetMachines::order(const detail::HttpRequest& request, bool isMove) -> StandinAnswer
{
    const auto body = json::parse(request.m_body).as_object();
    const std::string id(body.at("machine").as_string());
    const auto found = std::find_if(
        m_machines.begin(), m_machines.end(), [&](const FleetMachine& machine) { return machine.m_id == id; });
    if (found == m_machines.end())
        return jsonAnswer(statusBad, {});
    const auto token = std::stoll("0" + headerOf(request, "Hemlockvane-Fencing-Token"));
    if (token < found->m_highestToken)
        return jsonAnswer(statusConflict, { { "reason", "fence" } });
    found->m_highestToken = token;
    const auto wave = isMove ? 0 : body.at("wave").to_number<std::int64_t>();
    const auto pool = isMove ? std::string(body.at("pool").as_string()) : std::string();
    if (isMove ? found->m_pool == pool : found->m_wavesDone.contains(wave))
        return jsonAnswer(statusOk, {});
    if (!isMove && !m_waves[wave].contains(id))
        return jsonAnswer(statusConflict, { { "reason", "wave" } });
    if (found->m_state != "up" || !found->m_executor->isUp() || found->m_executor->m_isDraining)
        return jsonAnswer(statusConflict, { { "reason", "busy" } });
    m_record.write(id,
        (isMove ? "move to " + pool : "upkeep of wave " + std::to_string(wave)) + " token " + std::to_string(token));
    if (isMove)
        found->m_pool = pool;
    else
        found->m_wavesDone.insert(wave);
    const auto index = static_cast<std::size_t>(found - m_machines.begin());
    asio::co_spawn(
        m_context, takeAway(index, isMove ? "moving" : "upkeep", isMove ? moveTime : upkeepTime), asio::detached);
    return jsonAnswer(statusOk, {});
}

auto FleetMachines::handle(detail::HttpRequest request) -> asio::awaitable<StandinAnswer>
{
    if (m_isBusy)
        co_return jsonAnswer(statusUnavailable, {});
    if (request.m_target == "/hemlockvane/machine-move" || request.m_target == "/hemlockvane/machine-upkeep") {
        auto result = order(request, request.m_target == "/hemlockvane/machine-move");
        if (m_loseAnswers)
            result.m_delivery = standins::Delivery::None;
        co_return result;
    }
    json::array machines;
    for (const auto& machine : m_machines) {
        const auto isDown = machine.m_state == "up" && !machine.m_executor->isUp();
        machines.push_back(json::object { { "machine", machine.m_id }, { "pool", machine.m_pool },
            { "state", isDown ? "down" : machine.m_state }, { "zone", machine.m_zone },
            { "labels", json::array { "a", machine.m_rack } },
            { "capacity",
                json::object {
                    { "cpu", m_site.m_executorCpu }, { "memMb", m_site.m_executorMemoryMb }, { "gpu", 0 } } },
            { "id", machine.m_state == "up" && !isDown ? machine.m_executor->place().m_id : std::string() } });
    }
    co_await detail::sleepFor(m_listDelay); // The list is as old as that when it arrives.
    co_return jsonAnswer(statusOk, { { "machines", std::move(machines) }, { "nextToken", nullptr } });
}

} // namespace hemlockvane::fleetrun
