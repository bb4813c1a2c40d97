#include "FleetClients.h"

#include "CheckLasting.h"
#include "FleetInstances.h"
#include "FleetRecord.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>

namespace hemlockvane::fleetrun {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration clientTimeout { 3000 };
constexpr int submitAttempts = 5;
constexpr Duration submitPause { 300 };
constexpr Duration stateInterval { 700 };
constexpr Duration cancelDelay { 400 };
constexpr std::int64_t visibleMs = 3000; // An accepted job must be known after this.
constexpr std::int64_t lossSlackMs = 200;
constexpr std::int64_t longFactor = 12; // Of the work of a long job's tasks; see deploy/days/recut.toml.
constexpr std::int64_t askPauseMs = 60;
constexpr std::uint64_t submitEach = 200; // One in so many of these requests hands in a job.
constexpr std::size_t watchedConnections = 3; // To each instance.
constexpr std::size_t maximumAnswer = 1UL << 20U;
constexpr double inTurn = 5;
constexpr double outOfTurn = 0.05;
constexpr std::int64_t lastingMs = 700; // Estimate of tasks that last.
constexpr Duration lastingPause { 2000 }; // Between the submissions of two jobs of tasks that last.
constexpr double mostOfMean = 3; // What is drawn about a mean is at most this multiple of it.
constexpr unsigned statusOk = 200;
constexpr unsigned statusGone = 410;

auto isEnd(const std::string& state) -> bool
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

FleetClients::FleetClients(asio::io_context& context, FleetRecord& record, FleetInstances& instances,
    FactsByStep& facts, FleetSite site, FleetLoad load, std::uint64_t seed)
    : m_context(context)
    , m_record(record)
    , m_instances(instances)
    , m_facts(facts)
    , m_site(std::move(site))
    , m_load(load)
    , m_random(seed)
    , m_pool(context, { .m_perServer = 64 })
{
}

auto FleetClients::queueInTurn(std::int64_t at) const -> std::size_t
{
    const auto queues = static_cast<std::size_t>(std::count_if(
        m_site.m_pools.begin(), m_site.m_pools.end(), [](const PoolSite& pool) { return pool.m_jobsPerSecond > 0; }));
    return static_cast<std::size_t>(at / m_site.m_turnMs) % queues;
}

auto FleetClients::serviceInTurn(std::int64_t at) const -> std::string
{
    return m_site.m_pools[queueInTurn(at)].m_service;
}

auto FleetClients::nextTurnAt(std::int64_t at) const -> std::int64_t
{
    return (at / m_site.m_turnMs + 1) * m_site.m_turnMs;
}

auto FleetClients::call(std::string method, const FleetJob& job) -> asio::awaitable<std::optional<detail::HttpResponse>>
{
    const auto count = m_instances.instances().size();
    const auto first = m_random() % count;
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = (first + i) % count;
        if (m_instances.instances()[index].m_process <= 0)
            continue;
        detail::HttpRequest request;
        request.m_method = method;
        request.m_target = job.m_target;
        request.m_headers = { { "Host", host }, { "Content-Type", "application/json" }, { "Hemlockvane-Key", key },
            { "Hemlockvane-Deadline-Ms", std::to_string(clientTimeout.count()) } };
        request.m_body = method == "POST" ? job.m_body : std::string();
        FailureReason reason;
        auto response
            = co_await m_pool.call(m_instances.frontAddress(index), std::move(request), clientTimeout, reason);
        if (!response && reason.m_kind == ErrorKind::NoCapacity)
            continue;
        m_record.write("client",
            method + " " + job.m_id + " at " + m_instances.instances()[index].m_name + " -> "
                + (response ? std::to_string(response->m_status) + " " + response->m_body : reason.m_text));
        co_return response;
    }
    co_return std::nullopt;
}

auto FleetClients::newJob(const PoolSite& pool, bool isLasting) -> FleetJob&
{
    std::array<char, 20> id {};
    std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(m_random()));
    const auto share = std::uniform_real_distribution<> { 0, 1 }(m_random);
    const auto steps = isLasting || share > pool.m_steps - 1 ? 1U : 2U;
    auto& job = m_jobs.emplace_back();
    job.m_id = id.data();
    job.m_target = pool.m_queue + job.m_id;
    job.m_isLasting = isLasting;
    job.m_isHopeless = !isLasting && std::uniform_real_distribution<> { 0, 1 }(m_random) < m_load.m_hopeless;
    job.m_isLong
        = !isLasting && m_load.m_long > 0 && std::uniform_real_distribution<> { 0, 1 }(m_random) < m_load.m_long;
    json::array stepList;
    for (std::size_t step = 0; step < steps; ++step)
        stepList.push_back(isLasting ? lastingStep(job, pool) : quickStep(job, pool, step, step + 1 == steps));
    job.m_body = json::serialize(json::object { { "spec", "" }, { "steps", std::move(stepList) } });
    return job;
}

// Draws nothing without a spread, so that the jobs of such a site depend on the seed alone as before.
auto FleetClients::drawAbout(double mean, double spread, double most) -> double
{
    if (spread <= 0)
        return mean;
    const auto drawn = std::lognormal_distribution<> { std::log(mean) - spread * spread / 2, spread }(m_random);
    return std::clamp(drawn, 1.0, most);
}

auto FleetClients::quickStep(FleetJob& job, const PoolSite& pool, std::size_t step, bool isLast) -> json::object
{
    const auto draw = [&](auto mean) {
        const auto value = static_cast<double>(mean);
        return static_cast<std::int64_t>(drawAbout(value, pool.m_spread, value * mostOfMean));
    };
    StepFacts facts;
    const auto count = static_cast<std::size_t>(draw(pool.m_tasks));
    facts.m_cpu = draw(pool.m_cpu);
    facts.m_memoryMb = draw(pool.m_memoryMb);
    facts.m_workMs = draw(pool.m_workMs);
    facts.m_isHopeless = job.m_isHopeless && isLast;
    const auto estimateMs = facts.m_workMs;
    facts.m_workMs *= job.m_isLong ? longFactor : 1;
    m_facts[job.m_id + "." + std::to_string(step)] = facts;
    job.m_tasks += count;
    json::object object { { "count", count }, { "cpu", facts.m_cpu }, { "memMb", facts.m_memoryMb },
        { "estimateMs", estimateMs } };
    if (step > 0)
        object["after"] = json::array { step - 1 };
    return object;
}

auto FleetClients::lastingStep(FleetJob& job, const PoolSite& pool) -> json::object
{
    const auto& site = pool.m_lasting;
    const auto memory = static_cast<double>(site.m_memoryMb);
    const auto tasks
        = drawAbout(static_cast<double>(site.m_tasks), site.m_spread, static_cast<double>(site.m_mostTasks));
    StepFacts facts;
    facts.m_cpu = site.m_cpu > 0 ? site.m_cpu : pool.m_cpu;
    facts.m_memoryMb = static_cast<std::int64_t>(drawAbout(memory, site.m_spread, memory * mostOfMean));
    facts.m_isLasting = true;
    m_facts[job.m_id + ".0"] = facts;
    job.m_tasks = static_cast<std::size_t>(std::lround(tasks));
    json::object object { { "count", job.m_tasks }, { "cpu", facts.m_cpu }, { "memMb", facts.m_memoryMb },
        { "estimateMs", lastingMs }, { "longRunning", true } };
    if (site.m_perExecutor > 0)
        object["antiAffinity"] = site.m_perExecutor;
    if (site.m_mayMiss > 0)
        object["mayMiss"] = site.m_mayMiss;
    return object;
}

auto FleetClients::submit(FleetJob& job) -> asio::awaitable<void>
{
    job.m_sentAt = m_record.now();
    for (int attempt = 0; attempt < submitAttempts; ++attempt) {
        const auto response = co_await call("POST", job);
        job.m_wasRefusedOnly = job.m_wasRefusedOnly && response && response->m_status != statusOk;
        if (response && response->m_status == statusOk) {
            job.m_acceptedAt = m_record.now();
            co_return;
        }
        co_await detail::sleepFor(submitPause);
    }
}

auto FleetClients::askState(FleetJob& job) -> asio::awaitable<bool>
{
    const auto askedAt = m_record.now();
    const auto response = co_await call("GET", job);
    if (!response)
        co_return false;
    if (response->m_status == statusGone && job.m_acceptedAt != never && askedAt > job.m_acceptedAt + visibleMs
        && job.m_cancelSentAt == never) {
        m_violations.push_back("LOST: job " + job.m_id + ", accepted at " + std::to_string(job.m_acceptedAt)
            + ", is unknown at " + std::to_string(askedAt));
        job.m_state = "unknown";
        co_return true;
    }
    if (response->m_status != statusOk)
        co_return false;
    boost::system::error_code error;
    const auto value = json::parse(response->m_body, error);
    if (error || !value.is_object() || !value.as_object().contains("state"))
        co_return false;
    job.m_state = std::string(value.as_object().at("state").as_string());
    if (isEnd(job.m_state))
        job.m_shownAt = m_record.now();
    co_return isEnd(job.m_state);
}

auto FleetClients::runJob(FleetJob& job, std::int64_t workMs) -> asio::awaitable<void>
{
    co_await submit(job);
    if (job.m_acceptedAt == never)
        co_return;
    const auto isCancelled
        = !job.m_isLasting && std::uniform_real_distribution<> { 0, 1 }(m_random) < m_load.m_cancelled;
    if (isCancelled) {
        co_await detail::sleepFor(cancelDelay);
        job.m_cancelSentAt = m_record.now();
        co_await call("DELETE", job);
        co_return;
    }
    co_await detail::sleepFor(Duration { workMs });
    if (!job.m_isLasting)
        co_await askState(job);
}

auto FleetClients::submitJobs(std::size_t pool, std::int64_t until) -> asio::awaitable<void>
{
    const auto& site = m_site.m_pools[pool];
    if (m_load.m_hasLasting)
        asio::co_spawn(m_context, submitLasting(site), asio::detached);
    constexpr std::int64_t slotMs = 20;
    for (auto now = m_record.now(); now < until; now = m_record.now()) {
        const auto factor = queueInTurn(now) == pool ? inTurn : outOfTurn;
        const auto mean = site.m_jobsPerSecond * m_load.m_scale * factor * slotMs / 1000;
        for (auto arrivals = std::poisson_distribution<int> { mean }(m_random); arrivals > 0; --arrivals) {
            auto& job = newJob(site, false);
            asio::co_spawn(m_context, runJob(job, site.m_workMs * 2), asio::detached);
        }
        co_await detail::sleepFor(Duration { slotMs });
    }
}

auto FleetClients::submitLasting(const PoolSite& pool) -> asio::awaitable<void>
{
    for (std::size_t job = 0; job < pool.m_lasting.m_jobs; ++job) {
        if (job > 0)
            co_await detail::sleepFor(lastingPause);
        asio::co_spawn(m_context, runJob(newJob(pool, true), lastingMs), asio::detached);
    }
}

auto FleetClients::play(std::int64_t until) -> asio::awaitable<void>
{
    for (std::size_t pool = 0; pool < m_site.m_pools.size(); ++pool) {
        if (m_site.m_pools[pool].m_jobsPerSecond > 0)
            asio::co_spawn(m_context, submitJobs(pool, until), asio::detached);
    }
    while (m_record.now() < until)
        co_await detail::sleepFor(stateInterval);
}

auto FleetClients::awaitEnds(std::int64_t until) -> asio::awaitable<void>
{
    const auto lastingUntil = m_record.now() + (m_load.m_hasLasting ? longestMissingMs : 0);
    for (auto isOpen = true; isOpen && m_record.now() < until;) {
        isOpen = m_record.now() < lastingUntil;
        for (auto& job : m_jobs) {
            if (job.m_acceptedAt == never || job.m_isLasting || job.m_shownAt != never || job.m_state == "unknown"
                || job.m_cancelSentAt != never)
                continue;
            const auto hasEnded = co_await askState(job);
            isOpen = isOpen || !hasEnded;
        }
        co_await detail::sleepFor(stateInterval);
    }
}

auto FleetClients::watchRequests(std::int64_t until) -> void
{
    for (std::size_t i = 0; i < m_instances.instances().size() * watchedConnections; ++i)
        asio::co_spawn(m_context, keepAsking(i / watchedConnections, until), asio::detached);
}

auto FleetClients::keepAsking(std::size_t instance, std::int64_t until) -> asio::awaitable<void>
{
    detail::HttpConnection connection { m_context.get_executor() };
    while (m_record.now() < until) {
        co_await detail::sleepFor(Duration { static_cast<std::int64_t>(m_random() % askPauseMs) });
        FailureReason reason;
        if (!connection.isOpen()) {
            connection = detail::HttpConnection { m_context.get_executor() };
            co_await connection.connect(m_instances.frontAddress(instance), clientTimeout, reason);
            continue;
        }
        const auto kind = m_random() % submitEach;
        const auto& pool = m_site.m_pools[m_random() % (m_site.m_pools.size() - 1)];
        auto* const job = kind == 0 ? &newJob(pool, false) : nullptr;
        detail::HttpRequest request;
        request.m_method = kind == 0 ? "POST" : "GET";
        request.m_target = kind == 0           ? job->m_target
            : kind % 2 == 1 && !m_jobs.empty() ? m_jobs[m_random() % m_jobs.size()].m_target
                                               : pool.m_queue;
        request.m_headers = { { "Host", host }, { "Content-Type", "application/json" }, { "Hemlockvane-Key", key },
            { "Hemlockvane-Deadline-Ms", std::to_string(clientTimeout.count()) } };
        request.m_body = kind == 0 ? job->m_body : std::string();
        const auto sentAt = m_record.now();
        if (job != nullptr)
            job->m_sentAt = sentAt;
        const auto response = co_await connection.exchange(request, clientTimeout, maximumAnswer, reason);
        if (!response)
            noteCut(instance, request.m_method + " " + request.m_target, sentAt);
        else if (job != nullptr && response->m_status == statusOk)
            job->m_acceptedAt = m_record.now();
    }
}

// A request that has used up its deadline is not cut.
auto FleetClients::noteCut(std::size_t instance, const std::string& request, std::int64_t sentAt) -> void
{
    const auto endedAt = m_record.now();
    const auto& name = m_instances.instances()[instance].m_name;
    const auto line = request + " at " + name + " sent at " + std::to_string(sentAt) + " ended at "
        + std::to_string(endedAt) + " without an answer";
    m_record.write("client", "cut: " + line);
    if (endedAt - sentAt > lossSlackMs && endedAt - sentAt < clientTimeout.count())
        m_violations.push_back("LOST: " + line);
}

auto FleetClients::checkLasting() -> void
{
    std::map<std::string, std::vector<StartedRun>> runsByTask;
    for (const auto& run : m_record.m_runs)
        runsByTask[run.m_task].push_back(run);
    for (const auto& job : m_jobs) {
        if (!job.m_isLasting || job.m_acceptedAt == never)
            continue;
        for (std::size_t task = 0; task < job.m_tasks; ++task) {
            const auto name = job.m_id + ".0.0." + std::to_string(task);
            for (const auto& line :
                findMissing(name, runsByTask[name], job.m_acceptedAt, m_record.disruptions(), m_record.now()))
                m_violations.push_back("LOST: " + line);
        }
    }
}

} // namespace hemlockvane::fleetrun
