#include "PlannedTroubles.h"

#include "FleetClients.h"
#include "FleetInstances.h"
#include "FleetMachines.h"
#include "FleetRecord.h"

#include "hostile/HostileClients.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <sstream>
#include <utility>

namespace hemlockvane::fleetrun {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration grace { 6000 };
constexpr std::int64_t timeoutMs = 3000;
constexpr std::int64_t firstWave = 1;
constexpr int waveSize = 8;
// Together these hold 100 MB at a time where nothing bounds it.
constexpr std::size_t hostileClientsAtOnce = 100;
constexpr std::size_t hostileBytes = 1000000;
constexpr std::int64_t mostTasks = 20000; // Of one job, and occurrences of one job.
constexpr std::int64_t mostSteps = 1000;

// What a large job is large by.
enum class Largeness : std::uint8_t {
    Product, // Many occurrences of many tasks.
    Occurrences,
    Tasks,
    Steps,
};

constexpr std::size_t kindsOfLargeJobs = 4;

// A job whose occurrences are all due and whose tasks need an executor with a label.
auto largeJob(Largeness kind, const std::string& label) -> json::object
{
    json::object step { { "count", 1 }, { "cpu", 8000 }, { "memMb", 1024 }, { "estimateMs", 500 },
        { "requires", label } };
    json::object job { { "spec", "large" } };
    if (kind == Largeness::Product || kind == Largeness::Occurrences) {
        job["runCount"] = mostTasks;
        job["startAtMs"] = 1;
        job["intervalMs"] = kind == Largeness::Product ? 60000 : 0;
    }
    if (kind == Largeness::Product)
        step["count"] = mostTasks / 2;
    if (kind == Largeness::Tasks)
        step["count"] = mostTasks;
    json::array steps;
    for (std::int64_t count = kind == Largeness::Steps ? mostSteps : 1; count > 0; --count)
        steps.push_back(step);
    job["steps"] = std::move(steps);
    return job;
}

} // namespace

PlannedTroubles::PlannedTroubles(asio::io_context& context, FleetRecord& record, FleetInstances& instances,
    FleetMachines& machines, review::Store& store, std::string configuration, std::uint64_t seed)
    : m_context(context)
    , m_record(record)
    , m_instances(instances)
    , m_machines(machines)
    , m_store(store)
    , m_configuration(json::parse(configuration).as_object())
    , m_random(seed)
{
}

auto PlannedTroubles::play(std::string names, std::int64_t until) -> void
{
    static const std::pair<std::string_view, Kind> kinds[] = {
        { "terms", &PlannedTroubles::terms },
        { "hangups", &PlannedTroubles::hangups },
        { "configurations", &PlannedTroubles::configurations },
        { "waves", &PlannedTroubles::waves },
        { "leaving", &PlannedTroubles::leaving },
        { "evacuations", &PlannedTroubles::evacuations },
        { "hostile-clients", &PlannedTroubles::hostileClients },
        { "large-jobs", &PlannedTroubles::largeJobs },
        { "lost-orders", &PlannedTroubles::lostOrders },
    };
    std::istringstream list(names);
    for (std::string name; std::getline(list, name, ',');) {
        for (const auto& [known, kind] : kinds) {
            if (known == name)
                asio::co_spawn(m_context, (this->*kind)(until), asio::detached);
        }
    }
}

auto PlannedTroubles::between(std::int64_t least, std::int64_t most) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t> { least, most }(m_random);
}

auto PlannedTroubles::pause(std::int64_t leastMs, std::int64_t mostMs) -> asio::awaitable<void>
{
    const Duration time { between(leastMs, mostMs) };
    co_await detail::sleepFor(time);
}

auto PlannedTroubles::stopAndStart(std::size_t instance) -> asio::awaitable<void>
{
    m_instances.signal(instance, SIGTERM);
    co_await detail::sleepFor(grace);
    m_instances.signal(instance, SIGKILL);
    m_instances.start(instance);
}

// Instances in turn, so that up to three of them stop at the same time.
auto PlannedTroubles::terms(std::int64_t until) -> asio::awaitable<void>
{
    for (std::size_t turn = 0; m_record.now() + grace.count() < until; ++turn) {
        co_await pause(1000, 4000);
        asio::co_spawn(m_context, stopAndStart(turn % m_instances.instances().size()), asio::detached);
    }
}

auto PlannedTroubles::hangups(std::int64_t until) -> asio::awaitable<void>
{
    while (m_record.now() < until) {
        co_await pause(50, 500);
        m_instances.signal(m_random() % m_instances.instances().size(), SIGHUP);
    }
}

auto PlannedTroubles::configurations(std::int64_t until) -> asio::awaitable<void>
{
    const auto routes = m_configuration.at("routes").as_array();
    const auto tenants = m_configuration.at("tenants").as_array();
    auto version = m_configuration.at("version").to_number<std::int64_t>();
    while (m_record.now() < until) {
        co_await pause(100, 1500);
        version += between(1, 3);
        auto newRoutes = routes;
        for (auto& route : newRoutes)
            route.as_object()["timeoutMs"] = timeoutMs + between(0, 2) * 500;
        for (auto extra = between(0, 2); extra > 0; --extra) {
            auto route = routes.front().as_object();
            route["name"] = "extra-" + std::to_string(version) + "-" + std::to_string(extra);
            route["pathPrefix"] = "/extra" + std::to_string(extra) + "/";
            newRoutes.push_back(std::move(route));
        }
        auto newTenants = tenants;
        if (between(0, 1) == 1) {
            auto tenant = tenants.front().as_object();
            tenant["name"] = "extra";
            tenant["apiKeys"] = json::array { "extra-" + std::to_string(version) };
            newTenants.push_back(std::move(tenant));
        }
        m_configuration["version"] = version;
        m_configuration["routes"] = std::move(newRoutes);
        m_configuration["tenants"] = std::move(newTenants);
        m_store.put("keyed.op", "config", json::serialize(m_configuration));
        m_record.write("operator", "configuration " + std::to_string(version));
    }
}

auto PlannedTroubles::waves(std::int64_t until) -> asio::awaitable<void>
{
    for (auto wave = firstWave; m_record.now() < until; ++wave) {
        co_await pause(500, 3000);
        auto& machines = m_machines.machines();
        json::array names;
        for (int i = 0; i < waveSize; ++i) {
            const auto& id = machines[m_random() % machines.size()].m_id;
            if (m_machines.m_waves[wave].insert(id).second)
                names.push_back(json::value(id));
        }
        m_store.put("keyed.op", "wave/" + std::to_string(wave),
            json::serialize(json::object {
                { "wave", wave }, { "machines", std::move(names) }, { "durationS", 10 }, { "maxCount", 3 } }));
        m_record.write("operator", "wave " + std::to_string(wave));
        co_await pause(6000, 9000);
    }
}

// Executors drain, leave and start again under their ids.
auto PlannedTroubles::leaving(std::int64_t until) -> asio::awaitable<void>
{
    while (m_record.now() < until) {
        co_await pause(100, 800);
        auto& machines = m_machines.machines();
        const auto index = m_random() % machines.size();
        if (machines[index].m_executor->isUp() && !machines[index].m_executor->m_isDraining)
            asio::co_spawn(m_context, leave(index), asio::detached);
    }
}

auto PlannedTroubles::leave(std::size_t machine) -> asio::awaitable<void>
{
    const auto executor = m_machines.machines()[machine].m_executor;
    executor->m_isDraining = true;
    m_record.write(executor->place().m_id, "drains");
    co_await pause(3500, 7000);
    executor->m_isDraining = false;
    if (m_machines.machines()[machine].m_executor != executor)
        co_return;
    const Duration down { between(20, 3000) };
    co_await m_machines.crashAndReturn(machine, down);
}

// One zone at a time is evacuated, for long enough that starts in it would be seen, and restored.
auto PlannedTroubles::evacuations(std::int64_t until) -> asio::awaitable<void>
{
    while (m_record.now() < until) {
        co_await pause(500, 3000);
        const auto& machines = m_machines.machines();
        const auto zone = machines[m_random() % machines.size()].m_zone;
        m_store.put("keyed.op", "evacuate/" + zone, "{}");
        m_record.write("operator", "evacuates " + zone);
        m_record.m_evacuations.push_back({ zone, m_record.now(), never });
        co_await pause(9000, 14000);
        m_record.write("operator", "restores " + zone);
        m_record.m_evacuations.back().m_restoredAt = m_record.now();
        m_store.put("keyed.op", "evacuate/" + zone, {});
    }
}

// Clients that ignore all limits come to each port of each instance, in every way.
auto PlannedTroubles::hostileClients(std::int64_t until) -> asio::awaitable<void>
{
    for (std::size_t turn = 0; m_record.now() < until; ++turn) {
        const auto instance = turn % m_instances.instances().size();
        const auto addresses = m_instances.addresses(instance);
        const auto kind = static_cast<std::size_t>(m_random() % hostile::hostileKinds.size());
        asio::co_spawn(m_context, attack(addresses[m_random() % addresses.size()], kind), asio::detached);
        co_await pause(500, 1500);
    }
}

auto PlannedTroubles::attack(std::string address, std::size_t kind) -> asio::awaitable<void>
{
    const auto& [name, what] = hostile::hostileKinds.at(kind);
    m_record.write("clients", std::string(name) + " to " + address);
    hostile::HostileClients clients(m_context, what, address, "/", hostileBytes);
    clients.start(hostileClientsAtOnce);
    co_await pause(3000, 8000);
    clients.close();
}

// Clients hand in jobs whose numbers are the largest that are accepted: many of each kind, so that their sum would not
// fit into an instance's memory either. Their tasks run on one rack of the pool at most, which they fill for hours; the
// others are left to ordinary jobs.
auto PlannedTroubles::largeJobs(std::int64_t until) -> asio::awaitable<void>
{
    for (std::int64_t number = 0; m_record.now() < until; ++number) {
        const auto kind = static_cast<std::size_t>(m_random() % kindsOfLargeJobs);
        asio::co_spawn(m_context, submitLargeJob(kind, number), asio::detached);
        co_await pause(50, 150);
    }
}

auto PlannedTroubles::firstRack(const std::string& service) const -> std::string
{
    for (const auto& machine : m_machines.machines()) {
        if (machine.m_pool == service)
            return machine.m_executor->place().m_rack;
    }
    return {};
}

auto PlannedTroubles::submitLargeJob(std::size_t kind, std::int64_t number) -> asio::awaitable<void>
{
    const auto routes = m_configuration.at("routes").as_array();
    const auto& route = routes.at(m_random() % routes.size()).as_object();
    const auto prefix = std::string(route.at("pathPrefix").as_string());
    const auto label = between(0, 1) == 1 ? "of no executor" : firstRack(std::string(route.at("service").as_string()));
    const auto instance = m_random() % m_instances.instances().size();
    std::array<char, 17> id {};
    std::snprintf(id.data(), id.size(), "%016llx", 0xb1600000ULL + static_cast<unsigned long long>(number));
    detail::HttpRequest request;
    request.m_method = "POST";
    request.m_target = prefix + id.data();
    request.m_headers = { { "Host", FleetClients::host }, { "Content-Type", "application/json" },
        { "Hemlockvane-Key", FleetClients::key } };
    request.m_body = json::serialize(largeJob(static_cast<Largeness>(kind), label));
    FailureReason reason;
    const auto response
        = co_await detail::httpCall(m_instances.frontAddress(instance), request, Duration { timeoutMs }, reason);
    m_record.write("clients",
        "large job " + std::string(id.data()) + " kind " + std::to_string(kind) + ": "
            + (response ? std::to_string(response->m_status) : reason.m_text));
}

auto PlannedTroubles::lostOrders(std::int64_t until) -> asio::awaitable<void>
{
    while (m_record.now() < until) {
        co_await pause(500, 3000);
        m_machines.m_loseAnswers = true;
        m_record.write("machines", "answers to orders are lost");
        co_await pause(500, 3000);
        m_machines.m_loseAnswers = false;
    }
}

} // namespace hemlockvane::fleetrun
