#include "ClaimFleet.h"

#include <malloc.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <queue>
#include <random>

namespace hemlockvane {

namespace {

constexpr std::size_t entries = 9;
constexpr std::size_t zones = 3;
constexpr std::size_t answerBytes = 200;
constexpr double millisPerSecond = 1000;

struct Options {
    std::uint32_t m_seed = 1;
    std::size_t m_claims = 100'000;
};

auto heapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

// Runs complete claims one after the other: request, grant, copy, outcome.
auto runClaims(ClaimFleet& fleet, std::mt19937& random, std::size_t count, std::uint32_t firstSerial) -> void
{
    const std::string answer(answerBytes, 'a');
    for (std::size_t i = 0; i < count; ++i) {
        const auto key = makeKeyText(fleet.m_time.m_wall, firstSerial + static_cast<std::uint32_t>(i));
        requestClaim(fleet, random() % entries, key);
        deliverMessages(fleet);
        for (const auto& [entry, ticket] : std::exchange(fleet.m_dispatched, {}))
            completeRequest(fleet, entry, ticket, answer);
        deliverMessages(fleet);
    }
}

auto printClaimCost(const Options& options) -> void
{
    std::mt19937 random(options.m_seed);
    auto fleet = makeClaimFleet(entries, zones, {});
    fleet.m_messagesSent = 0;
    fleet.m_bytesSent = 0;
    const auto heapBefore = heapBytes();
    const auto begin = std::chrono::steady_clock::now();
    runClaims(fleet, random, options.m_claims, 1);
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
    std::size_t records = 0;
    for (const auto& entry : fleet.m_entries)
        records += entry.m_recordCount;
    const auto claims = static_cast<double>(options.m_claims);
    std::printf("Cost of a claim, %zu entries in %zu zones, %zu claims, %zu bytes of answer\n", entries, zones,
        options.m_claims, answerBytes);
    std::printf("  processor time, all entries together   %8.0f ns\n", elapsed.count() / claims);
    std::printf("  messages between entries               %8.2f\n", static_cast<double>(fleet.m_messagesSent) / claims);
    std::printf("  bytes between entries                  %8.0f\n", static_cast<double>(fleet.m_bytesSent) / claims);
    std::printf("  records kept                           %8.2f\n", static_cast<double>(records) / claims);
    std::printf("  heap for each record                   %8.0f bytes\n",
        (heapBytes() - heapBefore) / static_cast<double>(records));
}

struct Latency {
    double m_medianMs = 0;
    double m_p99Ms = 0;
    double m_appendsPerSecond = 0;
    double m_refusedShare = 0; ///< Refused requests over all requests.
};

// Times and rates from which the latency of a claim is computed.
struct LatencyModel {
    double m_oneWayMs; ///< One-way network latency between entries.
    double m_appendMs; ///< From sending an append to its answer.
    double m_appendsPerSecond; ///< Append rate of the log, all entries together.
    double m_durationSeconds = 60;
};

auto summarise(std::vector<double> values, double appends, double refused, double total) -> Latency
{
    constexpr double tail = 0.99;
    if (values.empty())
        return { 0, 0, appends, 1 };
    std::sort(values.begin(), values.end());
    const auto at = [&](double fraction) {
        return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
    };
    return { at(0.5), at(tail), appends, refused / total };
}

// Latency of claims that are granted by the holder of their slot: one round trip if the holder is another entry, and
// one more for the copy if the dispatching entry and the holder are in the same zone.
auto holderLatency(const LatencyModel& model, double requests, std::mt19937& random) -> Latency
{
    std::vector<double> values;
    const auto count = static_cast<std::size_t>(requests * model.m_durationSeconds);
    for (std::size_t i = 0; i < count; ++i) {
        const auto dispatcher = random() % entries;
        const auto holder = random() % entries;
        const auto roundTrips = (dispatcher == holder ? 0 : 1) + (dispatcher % zones == holder % zones ? 1 : 0);
        values.push_back(2 * model.m_oneWayMs * roundTrips);
    }
    return summarise(std::move(values), 0, 0, static_cast<double>(count));
}

// Latency of claims that are appended to the log. Each entry has an equal share of the log's append rate: it appends at
// once if the interval since its last append has passed, otherwise it batches the requests that arrive until then. It
// reads the record back before it dispatches.
auto appendLatency(const LatencyModel& model, double requests, bool isLogDown, std::mt19937& random) -> Latency
{
    const auto interval = entries * millisPerSecond / model.m_appendsPerSecond;
    const auto end = model.m_durationSeconds * millisPerSecond;
    std::exponential_distribution<double> arrivalGap(requests / entries / millisPerSecond);
    std::vector<double> values;
    double appends = 0;
    double total = 0;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        auto nextAppendAt = -interval;
        for (double now = arrivalGap(random); now < end; now += arrivalGap(random)) {
            ++total;
            if (isLogDown)
                continue;
            if (now > nextAppendAt) {
                nextAppendAt = std::max(now, nextAppendAt + interval);
                ++appends;
            }
            values.push_back(nextAppendAt - now + model.m_appendMs + 2 * model.m_oneWayMs);
        }
    }
    const auto refused = total - static_cast<double>(values.size());
    return summarise(std::move(values), appends / model.m_durationSeconds, refused, total);
}

auto printLatency(const char* name, double requests, const Latency& latency) -> void
{
    std::printf("  %-28s %8.0f %10.2f %10.2f %10.0f %9.0f %%\n", name, requests, latency.m_medianMs, latency.m_p99Ms,
        latency.m_appendsPerSecond, 100 * latency.m_refusedShare);
}

auto printLatencyComparison(const Options& options, const LatencyModel& model) -> void
{
    std::mt19937 random(options.m_seed);
    std::printf(
        "\nTime added before dispatch, computed: path %.1f ms one way, append %.1f ms, log %.0f appends/s in all\n",
        model.m_oneWayMs, model.m_appendMs, model.m_appendsPerSecond);
    std::printf("  %-28s %8s %10s %10s %10s %11s\n", "way", "req/s", "median ms", "p99 ms", "appends/s", "refused");
    for (const double requests : { 10., 100., 1000., 5000. }) {
        printLatency("holder", requests, holderLatency(model, requests, random));
        printLatency("batched append", requests, appendLatency(model, requests, false, random));
    }
    printLatency("holder, log down", 1000, holderLatency(model, 1000, random));
    printLatency("batched append, log down", 1000, appendLatency(model, 1000, true, random));
}

struct Crash {
    const char* m_name;
    std::vector<std::size_t> m_entries;
};

struct RetryOutcomes {
    std::size_t m_sameAnswer = 0; ///< Retries answered with the recorded answer.
    std::size_t m_outcomeUnknown = 0; ///< Retries refused with ErrorKind::OutcomeUnknown.
    std::size_t m_otherErrors = 0;
    std::size_t m_unknownWithoutCopies = 0; ///< Keys whose holder crashed: all would be unknown without copies.
};

// Crashes entries when `done` keys have a recorded answer and `inFlight` keys are dispatched, then retries every key
// through a live entry.
auto crashAndRetry(const Options& options, const Crash& crash, std::size_t done, std::size_t inFlight) -> RetryOutcomes
{
    std::mt19937 random(options.m_seed);
    ClaimSettings settings;
    auto fleet = makeClaimFleet(entries, zones, settings);
    runClaims(fleet, random, done, 1);
    const auto stamp = fleet.m_time.m_wall;
    for (std::size_t i = 0; i < inFlight; ++i)
        requestClaim(fleet, random() % entries, makeKeyText(stamp, static_cast<std::uint32_t>(done + i + 1)));
    deliverMessages(fleet);
    const auto isCrashed = [&](std::size_t entry) {
        return std::find(crash.m_entries.begin(), crash.m_entries.end(), entry) != crash.m_entries.end();
    };
    for (const auto& [entry, ticket] : std::exchange(fleet.m_dispatched, {})) {
        if (!isCrashed(entry))
            completeRequest(fleet, entry, ticket, "answer");
    }
    deliverMessages(fleet);
    crashEntries(fleet, crash.m_entries);
    fleet.m_replies.clear();
    RetryOutcomes outcomes;
    for (std::size_t i = 1; i <= done + inFlight; ++i) {
        const auto key = makeKeyText(stamp, static_cast<std::uint32_t>(i));
        auto entry = random() % entries;
        while (isCrashed(entry))
            entry = (entry + 1) % entries;
        requestClaim(fleet, entry, key);
        deliverMessages(fleet);
        const auto slot = claimSlot({ "team", key }, settings.m_slots);
        outcomes.m_unknownWithoutCopies += isCrashed(slot % entries) ? 1 : 0;
    }
    for (const auto& reply : fleet.m_replies) {
        auto& count = reply.m_error == ErrorKind::None   ? outcomes.m_sameAnswer
            : reply.m_error == ErrorKind::OutcomeUnknown ? outcomes.m_outcomeUnknown
                                                         : outcomes.m_otherErrors;
        ++count;
    }
    return outcomes;
}

auto printRetryOutcomes(const Options& options) -> void
{
    constexpr std::size_t done = 18'000;
    constexpr std::size_t inFlight = 180;
    std::printf("\nRetries after a crash, %zu keys done and %zu in flight, %zu entries in %zu zones\n", done, inFlight,
        entries, zones);
    std::printf("  %-32s %12s %12s %8s %22s\n", "crashed", "same answer", "unknown", "other", "unknown, no copies");
    const std::vector<Crash> crashes { { "one entry", { 4 } }, { "two entries of one zone", { 1, 4 } },
        { "a whole zone", { 1, 4, 7 } }, { "two entries of two zones", { 4, 5 } } };
    for (const auto& crash : crashes) {
        const auto outcomes = crashAndRetry(options, crash, done, inFlight);
        std::printf("  %-32s %12zu %12zu %8zu %22zu\n", crash.m_name, outcomes.m_sameAnswer, outcomes.m_outcomeUnknown,
            outcomes.m_otherErrors, outcomes.m_unknownWithoutCopies);
    }
}

} // namespace

} // namespace hemlockvane

auto main(int argc, char** argv) -> int
{
    using namespace hemlockvane;
    try {
        TCLAP::CmdLine command("Measures the claims core and weighs a holder against an append for each request");
        TCLAP::ValueArg<std::uint32_t> seed("", "seed", "Seed of the random numbers", false, 1, "number", command);
        TCLAP::ValueArg<std::size_t> claims("", "claims", "Claims to time", false, 100'000, "number", command);
        TCLAP::ValueArg<double> path("", "path-ms", "One way between entries", false, 0.5, "ms", command);
        TCLAP::ValueArg<double> append("", "append-ms", "Answer time of the log", false, 5, "ms", command);
        TCLAP::ValueArg<double> rate("", "log-rate", "Appends a second", false, 300, "number", command);
        command.parse(argc, argv);
        const Options options { seed.getValue(), claims.getValue() };
        printClaimCost(options);
        printLatencyComparison(options, { path.getValue(), append.getValue(), rate.getValue() });
        printRetryOutcomes(options);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "ClaimBench: %s\n", error.what());
        return 1;
    }
    return 0;
}
