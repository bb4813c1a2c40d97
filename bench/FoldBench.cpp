#include "hemlockvane/configuration.h"
#include "hemlockvane/log.h"
#include "hemlockvane/membership.h"

#include "hemlockvane/peers.pb.h"
#include "hemlockvane/records.pb.h"

#include <malloc.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace hemlockvane {

namespace {

using Clock = std::chrono::steady_clock;

constexpr WallMillis initialWallTime = 1700000000000;
constexpr std::size_t operationsPerGroup = 8;
constexpr std::size_t keyHashBytes = 32;
constexpr int workers = 3100;
constexpr int pools = 277;
constexpr int teams = 260;
constexpr int zones = 14;
constexpr double bytesPerMiB = 1048576;

struct Options {
    std::uint32_t m_seed = 1;
    int m_repeats = 3;
};

auto microsSince(Clock::time_point begin) -> double
{
    return std::chrono::duration<double, std::micro>(Clock::now() - begin).count();
}

auto heapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

// Returns the shortest of several runs, since disturbances only make a run longer.
template <typename Run> auto fastest(int repeats, Run run) -> double
{
    auto best = run();
    for (int i = 1; i < repeats; ++i)
        best = std::min(best, run());
    return best;
}

// Collects operations in a group and serializes it as a record.
class RecordBuilder {
public:
    explicit RecordBuilder(std::uint32_t seed)
        : m_random(seed)
    {
    }

    auto addOperation() -> wire::Operation&
    {
        auto& operation = *m_group.add_operations();
        operation.set_id("entry-7f3a9c52/" + std::to_string(++m_count));
        return operation;
    }

    auto isFull() const -> bool { return m_group.operations_size() >= static_cast<int>(operationsPerGroup); }

    auto buildRecord() -> std::string
    {
        m_group.set_format(recordFormat);
        m_group.set_author("entry-7f3a9c52");
        m_group.set_stamped_at_ms(initialWallTime + static_cast<WallMillis>(m_count));
        auto record = m_group.SerializeAsString();
        m_group.Clear();
        return record;
    }

    auto randomBelow(int count) -> int { return static_cast<int>(m_random() % static_cast<std::uint32_t>(count)); }

private:
    wire::Group m_group;
    std::mt19937 m_random;
    std::uint64_t m_count = 0;
};

// Folds `count` operations, filled by `fill(operation, i)`, in full groups; the last group may be smaller.
template <typename Fill> auto foldOperations(FleetState& state, RecordBuilder& builder, int count, Fill fill) -> void
{
    for (int i = 0; i < count; ++i) {
        fill(builder.addOperation(), i);
        if (builder.isFull() || i + 1 == count)
            foldRecord(state, builder.buildRecord());
    }
}

auto jobName(int i) -> std::string { return "018f3c5e-7d2a-7000-8000-" + std::to_string(100000000000LL + i); }

auto workerName(int i) -> std::string { return "worker-" + std::to_string(10000 + i); }

auto fillEntry(wire::Operation& operation, int i) -> void
{
    auto& change = *operation.mutable_join_entry();
    change.set_instance("entry-" + std::to_string(i));
    change.set_zone("zone-" + std::to_string(i % zones));
    change.set_address("tcp://10.0.0.1:7001");
    change.set_traffic_address("10.0.0.1:8001");
}

auto fillWorker(wire::Operation& operation, int i) -> void
{
    auto& change = *operation.mutable_add_instance();
    change.set_instance(workerName(i));
    change.set_pool("pool-" + std::to_string(i % pools));
    change.set_zone("zone-" + std::to_string(i % zones));
    change.set_rack("rack-" + std::to_string(i / 4));
    change.mutable_capacity()->set_cores(32);
    change.mutable_capacity()->set_memory_mb(131072);
}

auto fillJob(wire::Operation& operation, int i) -> void
{
    auto& change = *operation.mutable_submit_job();
    change.set_job(jobName(i));
    change.set_team("team-" + std::to_string(i % teams));
    change.set_queue("queue-" + std::to_string(i % pools));
    change.mutable_size()->set_cores(4);
    change.mutable_size()->set_memory_mb(8192);
    change.mutable_size()->set_run_seconds(600);
    change.set_repeatable(true);
    change.set_max_attempts(3);
    change.set_command("match --lot 4711 --shade 12");
}

auto fillPlace(wire::Operation& operation, int i, Offset epoch) -> void
{
    auto& change = *operation.mutable_place_job();
    change.mutable_fence()->set_duty("placement");
    change.mutable_fence()->set_epoch(epoch);
    change.set_job(jobName(i));
    change.set_worker(workerName(i % workers));
    change.set_attempt(1);
}

auto fillKey(wire::Operation& operation, int i) -> void
{
    auto& change = *operation.mutable_grant_key();
    change.set_key_id("key-" + std::to_string(i));
    std::string hash(keyHashBytes, 'h');
    const auto digits = std::to_string(i);
    hash.replace(0, digits.size(), digits);
    change.set_key_hash(hash);
    change.set_team("team-" + std::to_string(i % teams));
    change.set_author("ana");
}

auto fillDefault(wire::Operation& operation, Offset version) -> void
{
    auto& change = *operation.mutable_set_default();
    change.set_setting("team.limit");
    change.set_value("500");
    change.set_author("ana");
    change.set_expected_version(version);
}

auto fillException(wire::Operation& operation, int i) -> void
{
    auto& change = *operation.mutable_set_exception();
    change.set_setting("team.limit");
    change.set_scope("team-" + std::to_string(i));
    change.set_value("20");
    change.set_reason("school season until the end of the month");
    change.set_author("ana");
}

// Makes a state with workers, jobs and nine entries, one of which holds the placement duty.
auto makeState(RecordBuilder& builder, int jobs) -> FleetState
{
    FleetState state;
    foldOperations(state, builder, 9, fillEntry);
    foldOperations(state, builder, 1, [](auto& operation, int) {
        operation.mutable_take_duty()->set_duty("placement");
        operation.mutable_take_duty()->set_instance("entry-0");
    });
    foldOperations(state, builder, workers, fillWorker);
    foldOperations(state, builder, jobs, fillJob);
    return state;
}

// Prints the heap and snapshot bytes per item of a kind, and the heap bytes per operation that is kept to detect
// duplicates. Several counts are measured, because containers grow in steps.
template <typename Fill> auto printBytesPerItem(const Options& options, const char* kind, Fill fill) -> void
{
    for (const int count : { 1000, 4000, 16000 }) {
        RecordBuilder builder(options.m_seed);
        const auto before = heapBytes();
        auto state = FleetState();
        foldOperations(state, builder, count, fill);
        const auto keptOperations = static_cast<double>(state.m_operations.m_order.size());
        const auto all = heapBytes() - before;
        state.m_operations = {};
        const auto kept = heapBytes() - before;
        std::printf("| %s | %d | %.0f | %.0f | %.0f |\n", kind, count, kept / count, (all - kept) / keptOperations,
            static_cast<double>(saveSnapshot(state).size()) / count);
    }
}

auto printStateBytes(const Options& options) -> void
{
    std::printf("\n## State\n\n");
    std::printf(
        "| item | items | heap bytes an item | heap bytes an operation remembered | snapshot bytes an item |\n");
    std::printf("|---|---|---|---|---|\n");
    printBytesPerItem(options, "worker instance", fillWorker);
    printBytesPerItem(options, "job", fillJob);
    printBytesPerItem(options, "key", fillKey);
    printBytesPerItem(options, "exception", fillException);
    printBytesPerItem(options, "entry", fillEntry);
}

// Returns the microseconds of folding one operation. Every repetition starts from a copy of `base`.
template <typename Fill>
auto foldCost(const Options& options, const FleetState& base, RecordBuilder& builder, int count, Fill fill) -> double
{
    std::vector<std::string> records;
    for (int i = 0; i < count; ++i) {
        fill(builder.addOperation(), i);
        if (builder.isFull())
            records.push_back(builder.buildRecord());
    }
    return fastest(options.m_repeats, [&] {
        auto state = base;
        const auto begin = Clock::now();
        for (const auto& record : records)
            foldRecord(state, record);
        return microsSince(begin) / count;
    });
}

// Prints the log bytes of one operation, including its share of the record's header.
template <typename Fill> auto printRecordBytes(const Options& options, const char* kind, Fill fill) -> void
{
    RecordBuilder builder(options.m_seed);
    for (int i = 0; !builder.isFull(); ++i)
        fill(builder.addOperation(), i);
    std::printf("| %s | %.0f |\n", kind, static_cast<double>(builder.buildRecord().size()) / operationsPerGroup);
}

auto printAllRecordBytes(const Options& options) -> void
{
    std::printf(
        "\n## Records\n\n%zu operations a record.\n\n| operation | bytes of log |\n|---|---|\n", operationsPerGroup);
    printRecordBytes(options, "submit a job", fillJob);
    printRecordBytes(options, "place a job", [](auto& operation, int i) { fillPlace(operation, i, 100000); });
    printRecordBytes(options, "end an attempt", [](auto& operation, int i) {
        auto& change = *operation.mutable_end_attempt();
        change.mutable_fence()->set_duty("placement");
        change.mutable_fence()->set_epoch(100000);
        change.set_job(jobName(i));
        change.set_attempt(1);
        change.set_outcome(wire::JOB_FINISHED);
    });
    printRecordBytes(options, "set an exception", fillException);
    printRecordBytes(options, "join an entry", fillEntry);
    printRecordBytes(options, "take a duty", [](auto& operation, int i) {
        operation.mutable_take_duty()->set_duty(claimsDuty(static_cast<std::uint32_t>(i)));
        operation.mutable_take_duty()->set_instance("entry-7f3a9c52");
        operation.mutable_take_duty()->set_replaces_epoch(100000);
    });
}

auto printFoldCost(const Options& options) -> void
{
    constexpr int measured = 4000;
    std::printf("\n## Fold\n\nMicroseconds an operation, %zu operations a record, %d workers.\n\n", operationsPerGroup,
        workers);
    std::printf("| jobs in the state | submit | place | change a default | grant a key | mark an instance |\n");
    std::printf("|---|---|---|---|---|---|\n");
    for (const int jobs : { 4000, 16000, 64000 }) {
        RecordBuilder builder(options.m_seed);
        const auto base = makeState(builder, jobs);
        const auto epoch = base.m_membership.m_duties.find("placement")->second.m_epoch;
        const auto submit
            = foldCost(options, base, builder, measured, [&](auto& operation, int i) { fillJob(operation, jobs + i); });
        const auto place = foldCost(
            options, base, builder, measured, [&](auto& operation, int i) { fillPlace(operation, i, epoch); });
        const auto change = foldCost(options, base, builder, measured,
            [&](auto& operation, int) { fillDefault(operation, base.m_nextOffset + measured); });
        const auto grant = foldCost(options, base, builder, measured, fillKey);
        const auto mark = foldCost(options, base, builder, measured, [&](auto& operation, int i) {
            operation.mutable_mark_instance()->set_instance(workerName(i % workers));
            operation.mutable_mark_instance()->set_available(i % 2 == 0);
        });
        std::printf("| %d | %.2f | %.2f | %.2f | %.2f | %.2f |\n", jobs, submit, place, change, grant, mark);
    }
}

auto printSnapshotCost(const Options& options) -> void
{
    std::printf("\n## Snapshot and bootstrap\n\n%d workers; the tail is 20000 records of %zu operations.\n\n", workers,
        operationsPerGroup);
    std::printf(
        "| jobs | operations remembered | bytes | save ms | load ms | scan ms | tail ms | bootstrap ms | heap MiB |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    constexpr int tailRecords = 20000;
    constexpr double microsPerMilli = 1000;
    for (const int jobs : { 4000, 16000, 64000 }) {
        RecordBuilder builder(options.m_seed);
        const auto heapBefore = heapBytes();
        const auto state = makeState(builder, jobs);
        const auto heap = heapBytes() - heapBefore;
        std::string bytes;
        const auto save = fastest(options.m_repeats, [&] {
            const auto begin = Clock::now();
            bytes = saveSnapshot(state);
            return microsSince(begin);
        });
        const auto load = fastest(options.m_repeats, [&] {
            FailureReason reason;
            const auto begin = Clock::now();
            const auto loaded = loadSnapshot(bytes, reason);
            return loaded ? microsSince(begin) : 0.0;
        });
        auto writer = beginSnapshot(state, "entry-7f3a9c52/1", {});
        SnapshotReader reader;
        double scan = 0;
        while (!isComplete(writer)) {
            wire::Group group;
            *group.add_operations() = currentChunk(writer);
            const auto record = group.SerializeAsString();
            const auto begin = Clock::now();
            scanRecord(reader, record);
            scan += microsSince(begin);
            ++writer.m_nextIndex;
        }
        std::vector<std::string> tail;
        for (int i = 0; i < tailRecords * static_cast<int>(operationsPerGroup); ++i) {
            auto& operation = builder.addOperation();
            operation.mutable_mark_instance()->set_instance(workerName(builder.randomBelow(workers)));
            operation.mutable_mark_instance()->set_available(builder.randomBelow(2) == 0);
            if (builder.isFull())
                tail.push_back(builder.buildRecord());
        }
        auto folded = state;
        const auto begin = Clock::now();
        for (const auto& record : tail)
            foldRecord(folded, record);
        const auto tailCost = microsSince(begin);
        std::printf("| %d | %zu | %zu | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", jobs,
            state.m_operations.m_order.size(), bytes.size(), save / microsPerMilli, load / microsPerMilli,
            scan / microsPerMilli, tailCost / microsPerMilli, (load + scan + tailCost) / microsPerMilli,
            heap / bytesPerMiB);
    }
}

auto printMembershipCost(const Options& options) -> void
{
    std::printf(
        "\n## Membership\n\n83 duties. A plan is made a few times a second; a report is taken for each beat.\n\n");
    std::printf(
        "| entries | plan, calm us | plan, entry lost us | report taken us | beat bytes |\n|---|---|---|---|---|\n");
    for (const int entries : { 9, 28, 84 }) {
        RecordBuilder builder(options.m_seed);
        FleetState state;
        foldOperations(state, builder, entries, fillEntry);
        auto& members = state.m_membership;
        const auto duties = dutyNames(DutyCounts());
        for (std::size_t i = 0; i < duties.size(); ++i)
            members.m_duties[duties[i]] = DutyRecord { "entry-" + std::to_string(i % entries), i + 1 };
        auto planner = makePlanner("entry-0", duties, PlannerLimits(), Instant());
        constexpr int rounds = 200;
        auto begin = Clock::now();
        for (int i = 0; i < rounds; ++i)
            planMembership(planner, members, Instant());
        const auto steadyPlan = microsSince(begin) / rounds;
        members.m_entries.find("entry-1")->second.m_removedAt = 1;
        begin = Clock::now();
        for (int i = 0; i < rounds; ++i) {
            planner.m_attemptAt.clear();
            planMembership(planner, members, Instant());
        }
        const auto entryLostPlan = microsSince(begin) / rounds;
        VouchState vouch;
        vouch.m_self = "entry-0";
        InstanceListView view;
        view.m_requestedAt = Instant();
        for (const auto& [id, record] : members.m_entries)
            view.m_instances[id] = ListedStatus::Live;
        onLogRead(vouch, Instant(), 0);
        onInstanceList(vouch, members, view, Instant());
        begin = Clock::now();
        for (int i = 0; i < rounds; ++i)
            for (int peer = 1; peer < entries; ++peer)
                onPeerReport(vouch, members, "entry-" + std::to_string(peer), { Instant(), 0, false, {} }, Instant());
        const auto report = microsSince(begin) / rounds / (entries - 1);
        wire::Envelope beat;
        beat.set_sender("entry-7f3a9c52");
        beat.mutable_beat()->set_sequence(100000);
        beat.mutable_beat()->set_is_answer(true);
        beat.mutable_beat()->set_folded_end(1000000);
        beat.mutable_beat()->set_state_hash(1);
        beat.mutable_beat()->set_log_reachable(true);
        beat.mutable_beat()->set_log_read_age_ms(1000);
        std::printf(
            "| %d | %.1f | %.1f | %.2f | %zu |\n", entries, steadyPlan, entryLostPlan, report, beat.ByteSizeLong());
    }
}

auto printViewCost(const Options& options) -> void
{
    std::printf("\n## View\n\nCopying a part of the state for the traffic thread, microseconds.\n\n");
    std::printf("| keys | exceptions | copy keys | copy configuration |\n|---|---|---|---|\n");
    for (const int count : { 260, 1040, 4160 }) {
        RecordBuilder builder(options.m_seed);
        FleetState state;
        foldOperations(state, builder, count, fillKey);
        foldOperations(state, builder, count, fillException);
        const auto keys = fastest(options.m_repeats, [&] {
            const auto begin = Clock::now();
            const auto copy = state.m_keys;
            return copy.m_keys.empty() ? 0.0 : microsSince(begin);
        });
        const auto configuration = fastest(options.m_repeats, [&] {
            const auto begin = Clock::now();
            const auto copy = state.m_configuration;
            return copy.m_exceptions.empty() ? 0.0 : microsSince(begin);
        });
        std::printf("| %d | %d | %.0f | %.0f |\n", count, count, keys, configuration);
    }
}

} // namespace

} // namespace hemlockvane

auto main(int argc, char** argv) -> int
{
    try {
        TCLAP::CmdLine command("Measures the fold, snapshots, bootstrap and membership planning", ' ', "0.1");
        TCLAP::ValueArg<std::uint32_t> seed("", "seed", "Seed of the random choices", false, 1, "number", command);
        TCLAP::ValueArg<int> repeats("", "repeats", "Runs of which the fastest counts", false, 3, "number", command);
        command.parse(argc, argv);
        const hemlockvane::Options options { seed.getValue(), std::max(1, repeats.getValue()) };
        std::printf("seed %u, fastest of %d\n", options.m_seed, options.m_repeats);
        hemlockvane::printStateBytes(options);
        hemlockvane::printAllRecordBytes(options);
        hemlockvane::printFoldCost(options);
        hemlockvane::printSnapshotCost(options);
        hemlockvane::printMembershipCost(options);
        hemlockvane::printViewCost(options);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "FoldBench: %s\n", error.what());
        return 1;
    }
    return 0;
}
