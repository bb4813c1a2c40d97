#include "Json.h"
#include "StandinServer.h"

#include "hemlockvane/detail/program/RunMain.h"
#include "hemlockvane/records.pb.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <set>

namespace hemlockvane::standins {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::uint64_t firstOffset = 0;
constexpr std::uint64_t maximumBatchRecords = 10000;
constexpr std::size_t maximumBatchBytes = 8UL * 1024 * 1024;
constexpr std::uint64_t maximumWaitMs = 30000;

struct Record {
    std::string m_bytes;
    Clock::time_point m_appendedAt;
};

struct LogFaults {
    bool m_isUnavailable = false;
    bool m_losesAnswers = false;
    std::int64_t m_delayMs = 0;
};

struct Log {
    std::size_t m_retainRecords = 0; // 0: no limit.
    std::chrono::seconds m_retain { 0 }; // 0: no limit.
    double m_appendsPerSecond = 0;

    LogFaults m_faults;
    std::deque<Record> m_records;
    std::uint64_t m_oldest = firstOffset;
    double m_tokens = 0; // Token bucket that limits appends.
    Clock::time_point m_refilledAt = Clock::now();
    std::set<asio::steady_timer*> m_waiting; // Timers of reads that wait for a record.
};

auto endOffset(const Log& log) -> std::uint64_t { return log.m_oldest + log.m_records.size(); }

auto dropExpired(Log& log, Clock::time_point now) -> void
{
    const auto isExpired = [&](const Record& record) {
        const auto tooMany = log.m_retainRecords > 0 && log.m_records.size() > log.m_retainRecords;
        return tooMany || (log.m_retain.count() > 0 && record.m_appendedAt + log.m_retain < now);
    };
    while (!log.m_records.empty() && isExpired(log.m_records.front())) {
        log.m_records.pop_front();
        ++log.m_oldest;
    }
}

// Takes a token for one append. The bucket holds the appends of one second.
auto takeToken(Log& log, Clock::time_point now) -> bool
{
    if (log.m_appendsPerSecond <= 0)
        return true;
    const std::chrono::duration<double> passed = now - log.m_refilledAt;
    log.m_refilledAt = now;
    log.m_tokens = std::min(log.m_appendsPerSecond, log.m_tokens + passed.count() * log.m_appendsPerSecond);
    if (log.m_tokens < 1)
        return false;
    log.m_tokens -= 1;
    return true;
}

auto wakeWaiting(Log& log) -> void
{
    for (auto* timer : log.m_waiting)
        timer->cancel();
}

auto append(Log& log, std::string bytes) -> StandinAnswer
{
    const auto now = Clock::now();
    if (bytes.empty())
        return refusal(400, "the record is empty");
    if (!takeToken(log, now))
        return refusal(429, "too many appends");
    const auto offset = endOffset(log);
    log.m_records.push_back({ std::move(bytes), now });
    dropExpired(log, now);
    wakeWaiting(log);
    auto answer = jsonAnswer(200, { { "offset", offset } });
    if (log.m_faults.m_losesAnswers)
        answer.m_delivery = Delivery::None;
    return answer;
}

auto readBatch(Log& log, std::uint64_t from, std::uint64_t maximum) -> StandinAnswer
{
    dropExpired(log, Clock::now());
    wire::LogBatch batch;
    const auto first = std::max(from, log.m_oldest);
    batch.set_first_offset(first);
    batch.set_oldest_offset(log.m_oldest);
    batch.set_end_offset(endOffset(log));
    std::size_t bytes = 0;
    const auto last = std::min(endOffset(log), first + std::min(maximum, maximumBatchRecords));
    for (auto offset = first; offset < last && bytes < maximumBatchBytes; ++offset) {
        const auto& record = log.m_records[offset - log.m_oldest];
        bytes += record.m_bytes.size();
        batch.add_records(record.m_bytes);
    }
    StandinAnswer answer;
    answer.m_response.m_headers.push_back({ "Content-Type", "application/octet-stream" });
    answer.m_response.m_body = batch.SerializeAsString();
    return answer;
}

auto sleepFor(std::int64_t milliseconds) -> asio::awaitable<void>
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::use_awaitable);
}

auto waitForRecord(Log& log, std::uint64_t from, std::uint64_t waitMs) -> asio::awaitable<void>
{
    const auto until = Clock::now() + std::chrono::milliseconds(std::min(waitMs, maximumWaitMs));
    while (from >= endOffset(log) && !log.m_faults.m_isUnavailable && Clock::now() < until) {
        asio::steady_timer timer(co_await asio::this_coro::executor, until);
        log.m_waiting.insert(&timer);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        log.m_waiting.erase(&timer);
    }
}

auto read(Log& log, std::string_view target) -> asio::awaitable<StandinAnswer>
{
    const auto from = queryNumber(target, "from", log.m_oldest);
    const auto maximum = queryNumber(target, "max", maximumBatchRecords);
    co_await waitForRecord(log, from, queryNumber(target, "wait_ms", 0));
    co_return log.m_faults.m_isUnavailable ? refusal(503, "outage") : readBatch(log, from, maximum);
}

auto faultsAnswer(const LogFaults& faults) -> StandinAnswer
{
    return jsonAnswer(200,
        { { "outage", faults.m_isUnavailable }, { "delay_ms", faults.m_delayMs },
            { "lose_answers", faults.m_losesAnswers } });
}

auto setFaults(Log& log, std::string_view body) -> StandinAnswer
{
    const auto object = parseObject(body);
    if (!object)
        return refusal(400, "expected a JSON object");
    log.m_faults.m_isUnavailable = flagOf(*object, "outage", log.m_faults.m_isUnavailable);
    log.m_faults.m_delayMs = numberOf(*object, "delay_ms", log.m_faults.m_delayMs);
    log.m_faults.m_losesAnswers = flagOf(*object, "lose_answers", log.m_faults.m_losesAnswers);
    wakeWaiting(log);
    return faultsAnswer(log.m_faults);
}

auto handle(Log& log, detail::HttpRequest request) -> asio::awaitable<StandinAnswer>
{
    const auto path = pathOf(request.m_target);
    if (path == "/faults")
        co_return request.m_method == "POST" ? setFaults(log, request.m_body) : faultsAnswer(log.m_faults);
    if (log.m_faults.m_delayMs > 0)
        co_await sleepFor(log.m_faults.m_delayMs);
    if (log.m_faults.m_isUnavailable)
        co_return refusal(503, "outage");
    if (path == "/v1/append" && request.m_method == "POST")
        co_return append(log, std::move(request.m_body));
    if (path == "/v1/records" && request.m_method == "GET")
        co_return co_await read(log, request.m_target);
    co_return refusal(404, "no such path");
}

auto run(int argc, char** argv) -> int
{
    TCLAP::CmdLine line("Stand-in for the platform's log service");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false, "127.0.0.1:0", "IP:port", line);
    TCLAP::ValueArg<std::size_t> records("", "retain-records", "records kept (0: all)", false, 0, "number", line);
    TCLAP::ValueArg<std::int64_t> seconds(
        "", "retain-seconds", "time that records are kept (0: for ever)", false, 0, "seconds", line);
    TCLAP::ValueArg<double> rate(
        "", "appends-per-second", "maximum appends per second (0: no limit)", false, 400, "number", line);
    line.parse(argc, argv);
    Log log;
    log.m_retainRecords = records.getValue();
    log.m_retain = std::chrono::seconds(seconds.getValue());
    log.m_appendsPerSecond = rate.getValue();
    log.m_tokens = rate.getValue();
    boost::asio::io_context context(1);
    StandinServer server(context, [&](detail::HttpRequest request) { return handle(log, std::move(request)); });
    return runUntilStopped(context, server, listen.getValue());
}

} // namespace

} // namespace hemlockvane::standins

/// @brief Stand-in for the platform's append-only log.
auto main(int argc, char** argv) -> int { return hemlockvane::detail::runMain(argc, argv, hemlockvane::standins::run); }
