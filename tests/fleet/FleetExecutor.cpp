#include "FleetExecutor.h"

#include "FleetRecord.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <limits>

namespace hemlockvane::fleetrun {

namespace asio = boost::asio;
namespace json = boost::json;
using standins::Delivery;
using standins::StandinAnswer;

namespace {

constexpr Duration tickInterval { 5 };
constexpr Duration callerTimeout { 700 }; // Longer than callers wait for the answer to an order.
constexpr Duration silence { 2500 }; // Longer than callers wait for any answer.
constexpr std::size_t listedEnds = 500;
constexpr std::int64_t shortestLateMs = 300;
constexpr std::int64_t longestLateMs = 12000;
constexpr double evenOdds = 0.5;
constexpr double percentOfWork = 50;
constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr StepFacts factsOfUnknown { .m_cpu = 8000, .m_memoryMb = 1024, .m_workMs = 500 }; // As large jobs ask for.

auto steadyMs() -> std::int64_t { return detail::monotonicNow().time_since_epoch().count(); }

auto numberAt(const json::object& body, std::string_view name) -> std::int64_t
{
    const auto* value = body.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

auto textAt(const json::object& body, std::string_view name) -> std::string
{
    const auto* value = body.if_contains(name);
    return value == nullptr ? std::string() : std::string(value->as_string());
}

auto headerOf(const detail::HttpRequest& request, std::string_view name) -> std::string
{
    for (const auto& header : request.m_headers) {
        if (header.m_name == name)
            return header.m_value;
    }
    return {};
}

// ID.STEP of a task ID.K.STEP.INDEX.
auto stepOf(const std::string& task) -> std::string
{
    const auto first = task.find('.');
    const auto second = task.find('.', first + 1);
    return task.substr(0, first) + task.substr(second, task.rfind('.') - second);
}

} // namespace

FleetExecutor::FleetExecutor(
    asio::io_context& context, ExecutorPlace place, FleetRecord& record, const FactsByStep& facts, std::uint64_t seed)
    : m_context(context)
    , m_place(std::move(place))
    , m_record(record)
    , m_facts(facts)
    , m_random(seed)
{
}

FleetExecutor::~FleetExecutor() = default;

auto FleetExecutor::start() -> bool
{
    if (!m_isDark) {
        m_server = std::make_unique<standins::StandinServer>(
            m_context, [this](detail::HttpRequest request) { return handle(std::move(request)); });
        FailureReason reason;
        if (!m_server->listen(m_place.m_address, reason)) {
            m_record.write(m_place.m_id, reason.m_text);
            return false;
        }
    }
    m_isDark = false;
    ++m_life;
    m_isUp = true;
    m_bornUnixMs = detail::wallNow();
    m_clockSetAt = steadyMs();
    m_clockAtSet = 0;
    m_fence = 0;
    m_leaseUntil = 0;
    m_nextEnd = 1;
    m_ended.clear();
    m_highestEnded.clear();
    m_record.write(m_place.m_id, "up, born " + std::to_string(m_bornUnixMs));
    asio::co_spawn(m_context, tick(m_life), asio::detached);
    return true;
}

auto FleetExecutor::crash() -> void
{
    if (m_isUp)
        endLife("crashed");
    m_isDark = false;
    m_server->closeAll();
}

auto FleetExecutor::goDark() -> void
{
    if (!m_isUp)
        return;
    m_isDark = true;
    endLife("dark");
}

auto FleetExecutor::endLife(const std::string& how) -> void
{
    m_isUp = false;
    ++m_life;
    m_record.write(m_place.m_id, how + " with " + std::to_string(m_active.size()) + " runs");
    for (const auto& [key, active] : m_active) {
        active.m_run->m_endedAt = m_record.now();
        active.m_run->m_how = "crashed";
    }
    m_active.clear();
    m_usedCpu = 0;
    m_usedMemoryMb = 0;
}

auto FleetExecutor::entry() -> std::string
{
    return json::serialize(json::object { { "service", m_place.m_service }, { "address", m_place.m_address },
        { "zone", m_place.m_zone }, { "version", "v1" }, { "slots", 8 },
        { "state", m_isDraining ? "draining" : "ready" }, { "coldRemainingMs", 0 },
        { "capacity", json::object { { "cpu", m_place.m_cpu }, { "memMb", m_place.m_memoryMb }, { "gpu", 0 } } },
        { "labels", json::array { "a", m_place.m_rack } }, { "machine", m_place.m_machine }, { "clockMs", clockMs() },
        { "seq", ++m_sequence }, { "born", m_bornUnixMs } });
}

auto FleetExecutor::clockMs() const -> std::int64_t
{
    return static_cast<std::int64_t>(m_clockAtSet + static_cast<double>(steadyMs() - m_clockSetAt) * m_clockRate) + 1;
}

auto FleetExecutor::setClockRate(double rate) -> void
{
    const auto now = steadyMs();
    m_clockAtSet += static_cast<double>(now - m_clockSetAt) * m_clockRate;
    m_clockSetAt = now;
    m_clockRate = rate;
}

auto FleetExecutor::draw(double probability) -> bool
{
    return probability > 0 && std::uniform_real_distribution<> { 0, 1 }(m_random) < probability;
}

auto FleetExecutor::answer(unsigned status, json::object more) const -> StandinAnswer
{
    more["clockMs"] = clockMs();
    more["born"] = m_bornUnixMs;
    return { { status, { { "Content-Type", "application/json" } }, json::serialize(more) }, Delivery::Complete };
}

auto FleetExecutor::awaitReachable(bool ExecutorFaults::*fault, std::uint64_t life) -> asio::awaitable<void>
{
    while (m_faults.*fault && m_life == life)
        co_await detail::sleepFor(tickInterval);
}

auto FleetExecutor::awaitPower() -> asio::awaitable<void>
{
    while (m_isDark)
        co_await detail::sleepFor(tickInterval);
}

// If a life is given, only that one carries the call out.
auto FleetExecutor::carryOutLate(detail::HttpRequest request, std::optional<std::uint64_t> life)
    -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto lateMs = std::uniform_int_distribution<std::int64_t> { shortestLateMs, longestLateMs }(m_random);
    co_await detail::sleepFor(Duration { lateMs });
    co_await awaitPower();
    co_await awaitReachable(&ExecutorFaults::m_isPaused, m_life);
    if (!m_isUp || (life && m_life != *life))
        co_return;
    endDue();
    if (!life)
        m_record.write(m_place.m_id, "carries out late " + request.m_target + " " + request.m_body);
    const auto body = json::parse(request.m_body).as_object();
    co_await carryOut(request.m_target, body, true);
}

auto FleetExecutor::handle(detail::HttpRequest request) -> asio::awaitable<StandinAnswer>
{
    const auto self = shared_from_this();
    StandinAnswer none;
    none.m_delivery = Delivery::None;
    co_await awaitPower();
    if (!m_isUp)
        co_return none;
    const auto life = m_life;
    co_await awaitReachable(&ExecutorFaults::m_isCut, life);
    co_await awaitReachable(&ExecutorFaults::m_isPaused, life);
    if (m_life != life)
        co_return none;
    endDue();
    const auto expected = headerOf(request, "Hemlockvane-Expect-Instance");
    if (!expected.empty() && expected != m_place.m_id)
        co_return answer(421, {});
    const auto isOrder = request.m_target != "/hemlockvane/hold";
    if (draw(m_faults.m_refusal))
        co_return answer(draw(evenOdds) ? 429 : 503, {});
    if (isOrder && draw(m_faults.m_lateOrder)) {
        asio::co_spawn(m_context, carryOutLate(std::move(request), life), asio::detached);
        co_await detail::sleepFor(callerTimeout);
        co_return none;
    }
    if (draw(m_faults.m_lateCall)) {
        asio::co_spawn(m_context, carryOutLate(std::move(request), std::nullopt), asio::detached);
        co_await detail::sleepFor(silence);
        co_return none;
    }
    const auto body = json::parse(request.m_body).as_object();
    auto result = co_await carryOut(request.m_target, body, false);
    co_await awaitReachable(&ExecutorFaults::m_isPaused, life);
    if (isOrder && draw(m_faults.m_error))
        result = answer(draw(evenOdds) ? 500 : 502, {});
    if (m_faults.m_answerDelayMs > 0) {
        const Duration delay { std::uniform_int_distribution<std::int64_t> { 0, m_faults.m_answerDelayMs }(m_random) };
        co_await detail::sleepFor(delay);
    }
    co_await awaitReachable(&ExecutorFaults::m_isCut, life);
    co_await awaitReachable(&ExecutorFaults::m_isMute, life);
    // A machine without power does not close its connections.
    if (m_isDark)
        co_await detail::sleepFor(silence);
    if (m_life != life || draw(m_faults.m_lostAnswer))
        co_return none;
    co_return result;
}

auto FleetExecutor::carryOut(const std::string& path, const json::object& body, bool isLate)
    -> asio::awaitable<StandinAnswer>
{
    const auto fence = numberAt(body, "fence");
    if (fence < m_fence)
        co_return answer(statusConflict, { { "reason", "fence" } });
    m_fence = fence;
    if (path == "/hemlockvane/run-start")
        co_return startRun(body, isLate);
    if (path == "/hemlockvane/run-stop")
        stopRun(body);
    if (path == "/hemlockvane/hold") {
        const auto report = co_await hold(body);
        co_return report;
    }
    co_return answer(statusOk, {});
}

auto FleetExecutor::extendLease(const json::object& body) -> void
{
    m_leaseUntil = std::max(m_leaseUntil, std::min(numberAt(body, "deadlineMs"), clockMs() + m_place.m_longestHoldMs));
}

auto FleetExecutor::startRun(const json::object& body, bool isLate) -> StandinAnswer
{
    const RunKey key { textAt(body, "task"), numberAt(body, "run") };
    if (m_active.contains(key)) {
        extendLease(body);
        return answer(statusOk, {});
    }
    if (numberAt(body, "deadlineMs") <= clockMs())
        return answer(statusConflict, { { "reason", "late" } });
    extendLease(body);
    const auto ended = m_highestEnded.find(key.first);
    if (ended != m_highestEnded.end() && key.second <= ended->second)
        return answer(statusConflict, { { "reason", "old" } });
    const auto found = m_facts.find(stepOf(key.first));
    const auto facts = found == m_facts.end() ? factsOfUnknown : found->second;
    if (m_usedCpu + facts.m_cpu > m_place.m_cpu || m_usedMemoryMb + facts.m_memoryMb > m_place.m_memoryMb)
        return answer(statusConflict, { { "reason", "room" } });
    StartedRun started;
    started.m_task = key.first;
    started.m_run = key.second;
    started.m_executor = m_place.m_id;
    started.m_service = m_place.m_service;
    started.m_zone = m_place.m_zone;
    started.m_starter = m_starterOf ? m_starterOf(m_fence) : std::string();
    started.m_isStarterInTouch = m_record.isInTouch(started.m_starter);
    started.m_isLate = isLate;
    started.m_mayRunTwice = facts.m_mayRunTwice;
    started.m_startedAt = m_record.now();
    m_record.m_runs.push_back(started);
    Active active;
    active.m_run = &m_record.m_runs.back();
    active.m_isLasting = facts.m_isLasting;
    active.m_cpu = facts.m_cpu;
    active.m_memoryMb = facts.m_memoryMb;
    active.m_how = facts.m_isHopeless || draw(m_faults.m_failure) ? "failed" : "done";
    const auto workMs = active.m_how == "failed" ? facts.m_workMs / 4 : facts.m_workMs;
    active.m_endsAt = active.m_isLasting ? std::numeric_limits<std::int64_t>::max() : clockMs() + workMs;
    m_usedCpu += facts.m_cpu;
    m_usedMemoryMb += facts.m_memoryMb;
    m_active.emplace(key, active);
    m_record.write(m_place.m_id,
        "start " + key.first + " run " + std::to_string(key.second) + " from " + started.m_starter
            + (isLate ? " late" : ""));
    return answer(statusOk, {});
}

auto FleetExecutor::stopRun(const json::object& body) -> void
{
    const RunKey key { textAt(body, "task"), numberAt(body, "run") };
    m_record.write(m_place.m_id, "stop " + key.first + " run " + std::to_string(key.second));
    const auto active = m_active.find(key);
    if (active == m_active.end()) {
        m_highestEnded[key.first] = std::max(m_highestEnded[key.first], key.second);
        return;
    }
    if (active->second.m_run->m_stopAt == never)
        active->second.m_run->m_stopAt = m_record.now();
    const auto leastMs = m_faults.m_stopsSlowly ? m_place.m_longestStopMs : 0;
    const auto endsAt
        = clockMs() + std::uniform_int_distribution<std::int64_t> { leastMs, m_place.m_longestStopMs }(m_random);
    if (active->second.m_how == "stopped" || active->second.m_endsAt <= endsAt)
        return;
    active->second.m_endsAt = endsAt;
    active->second.m_how = "stopped";
}

auto FleetExecutor::hold(const json::object& body) -> asio::awaitable<StandinAnswer>
{
    const auto life = m_life;
    extendLease(body);
    const auto lastSeen = numberAt(body, "lastSeen");
    while (!m_ended.empty() && m_ended.front().m_number <= lastSeen) {
        m_ended.front().m_run->m_notedAt = m_record.now();
        m_ended.pop_front();
    }
    const auto waitUntil = steadyMs() + numberAt(body, "waitMs");
    while (m_ended.empty() && m_life == life && steadyMs() < waitUntil)
        co_await detail::sleepFor(tickInterval);
    json::array running;
    for (const auto& [key, active] : m_active)
        running.push_back(
            json::array { key.first, key.second, "", active.m_isLasting ? 100 : percentOfWork, active.m_cpu });
    json::array finished;
    for (const auto& ended : m_ended) {
        if (finished.size() == listedEnds)
            break;
        finished.push_back(json::array { ended.m_number, ended.m_key.first, ended.m_key.second, ended.m_how, "" });
    }
    co_return answer(statusOk, { { "running", std::move(running) }, { "finished", std::move(finished) } });
}

auto FleetExecutor::endRun(std::map<RunKey, Active>::iterator item, const std::string& how)
    -> std::map<RunKey, Active>::iterator
{
    const auto& [task, run] = item->first;
    auto& active = item->second;
    m_ended.push_back({ m_nextEnd++, item->first, how, active.m_run });
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    m_usedCpu -= active.m_cpu;
    m_usedMemoryMb -= active.m_memoryMb;
    active.m_run->m_endedAt = m_record.now();
    active.m_run->m_how = how;
    m_record.write(m_place.m_id, "end " + task + " run " + std::to_string(run) + " " + how);
    return m_active.erase(item);
}

auto FleetExecutor::endDue() -> void
{
    const auto now = clockMs();
    const auto hasLapsed = now > m_leaseUntil;
    if (hasLapsed) {
        for (const auto& ended : m_ended)
            ended.m_run->m_hasLapsed = true;
    }
    for (auto item = m_active.begin(); item != m_active.end();) {
        const auto endsAt = std::min(item->second.m_endsAt, m_leaseUntil + 1);
        if (endsAt > now) {
            ++item;
            continue;
        }
        auto* run = item->second.m_run;
        item = endRun(item, item->second.m_endsAt <= m_leaseUntil ? item->second.m_how : "lapsed");
        // Also of a process that stood still: its clock went on.
        run->m_endedAt -= static_cast<std::int64_t>(static_cast<double>(now - endsAt) / m_clockRate);
    }
}

auto FleetExecutor::tick(std::uint64_t life) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (m_life == life) {
        if (!m_faults.m_isPaused)
            endDue();
        co_await detail::sleepFor(tickInterval);
    }
}

} // namespace hemlockvane::fleetrun
