#include "core/log/RandomRecords.h"

#include "hemlockvane/log.h"

#include "hemlockvane/records.pb.h"
#include "hemlockvane/snapshot.pb.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace hemlockvane {

class SnapshotTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SnapshotTest);
    CPPUNIT_TEST(loadSnapshot_randomWalk_savesEqualBytes);
    CPPUNIT_TEST(loadSnapshot_atAnyRecord_foldContinuesToSameState);
    CPPUNIT_TEST(randomWalk_everyKind_isAcceptedAndRejected);
    CPPUNIT_TEST(loadSnapshot_newerFormat_isRefused);
    CPPUNIT_TEST(loadSnapshot_garbage_isRefused);
    CPPUNIT_TEST(foldGroup_newerFormat_haltsAndKeepsState);
    CPPUNIT_TEST(foldGroup_unknownOperation_haltsAndKeepsState);
    CPPUNIT_TEST(foldRecord_garbage_isAnEmptyGroup);
    CPPUNIT_TEST(foldGroup_staleVersion_isConflict);
    CPPUNIT_TEST(forgetRemovedEntries_withinKeepTime_preventsReuseOfId);
    CPPUNIT_TEST(snapshotNeed_recordsAgeAndRetention_giveDueOrOverdue);
    CPPUNIT_TEST(writeSnapshot_scannedByReader_givesEqualState);
    CPPUNIT_TEST(writeSnapshot_racingWriters_oneCompletes);
    CPPUNIT_TEST(writeSnapshot_repeatedFirstChunk_stillCompletes);
    CPPUNIT_TEST(writeSnapshot_olderThanComplete_isConflict);
    CPPUNIT_TEST(scanRecord_wrongHash_keepsOlderSnapshot);
    CPPUNIT_TEST(scanRecord_missingChunk_keepsOlderSnapshot);
    CPPUNIT_TEST(chooseBootstrap_eachSituation_isAsDocumented);
    CPPUNIT_TEST(hasDiverged_equalEndsOtherHash_isTrue);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int walkRecords = 400;
    static constexpr std::uint32_t seeds = 20;

    // Folds a record with one chunk and lets the reader scan the same record.
    static auto append(FleetState& state, SnapshotReader& reader, const wire::Operation& operation) -> OperationResult
    {
        wire::Group group;
        group.set_format(recordFormat);
        *group.add_operations() = operation;
        scanRecord(reader, group.SerializeAsString());
        return foldGroup(state, group).front();
    }

    static auto finish(FleetState& state, SnapshotReader& reader, SnapshotWriter& writer) -> bool
    {
        while (!isComplete(writer))
            if (!onChunkOutcome(writer, append(state, reader, currentChunk(writer))))
                return false;
        return true;
    }

    static auto makeState(std::uint32_t seed = 1) -> FleetState
    {
        FleetState state;
        RandomRecords records(seed);
        for (int i = 0; i < walkRecords; ++i)
            foldRecord(state, records.next(state));
        state.m_snapshots = {};
        return state;
    }

    static auto smallChunks() -> SnapshotLimits { return { 100, 1000, 2000 }; }

    static auto makeGroup(std::uint32_t format) -> wire::Group
    {
        wire::Group group;
        group.set_format(format);
        auto& operation = *group.add_operations();
        operation.set_id("x");
        operation.mutable_withdraw_key()->set_key_id("k1");
        return group;
    }

public:
    auto loadSnapshot_randomWalk_savesEqualBytes() -> void
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            FailureReason reason;
            const auto bytes = saveSnapshot(makeState(seed));
            const auto loaded = loadSnapshot(bytes, reason);
            CPPUNIT_ASSERT(loaded);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), saveSnapshot(*loaded) == bytes);
        }
    }

    auto loadSnapshot_atAnyRecord_foldContinuesToSameState() -> void
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            FleetState whole;
            FleetState resumed;
            RandomRecords records(seed);
            for (int i = 0; i < walkRecords; ++i) {
                const auto record = records.next(whole);
                foldRecord(whole, record);
                foldRecord(resumed, record);
                FailureReason reason;
                if (i % 7 == 0)
                    resumed = *loadSnapshot(saveSnapshot(resumed), reason);
                CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), whole.m_chainHash, resumed.m_chainHash);
            }
            CPPUNIT_ASSERT(saveSnapshot(whole) == saveSnapshot(resumed));
        }
    }

    // Guards the random records themselves: each operation kind must be both accepted and rejected at least once.
    auto randomWalk_everyKind_isAcceptedAndRejected() -> void
    {
        std::map<int, std::pair<int, int>> counts;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            FleetState state;
            RandomRecords records(seed);
            for (int i = 0; i < walkRecords; ++i) {
                wire::Group group;
                group.ParseFromString(records.next(state));
                const auto results = foldGroup(state, group);
                for (int k = 0; k < group.operations_size(); ++k) {
                    auto& [accepted, rejected] = counts[group.operations(k).change_case()];
                    ++(results[k].m_error == ErrorKind::None ? accepted : rejected);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(22), counts.size());
        for (const auto& [kind, count] : counts) {
            CPPUNIT_ASSERT_MESSAGE("accepted of kind " + std::to_string(kind), count.first > 0);
            CPPUNIT_ASSERT_MESSAGE("rejected of kind " + std::to_string(kind), count.second > 0);
        }
    }

    auto loadSnapshot_newerFormat_isRefused() -> void
    {
        FailureReason reason;
        wire::Snapshot snapshot;
        snapshot.set_format(recordFormat + 1);
        CPPUNIT_ASSERT(!loadSnapshot(snapshot.SerializeAsString(), reason));
        CPPUNIT_ASSERT(reason.m_kind == ErrorKind::Internal);
    }

    auto loadSnapshot_garbage_isRefused() -> void
    {
        FailureReason reason;
        CPPUNIT_ASSERT(!loadSnapshot("\xff\xff\xff", reason));
        CPPUNIT_ASSERT(reason.m_kind == ErrorKind::BadRequest);
    }

    auto foldGroup_newerFormat_haltsAndKeepsState() -> void
    {
        auto state = makeState();
        const auto before = saveSnapshot(state);
        CPPUNIT_ASSERT(foldGroup(state, makeGroup(recordFormat + 1)).empty());
        CPPUNIT_ASSERT(state.m_halted);
        CPPUNIT_ASSERT(foldGroup(state, makeGroup(recordFormat)).empty());
        CPPUNIT_ASSERT(saveSnapshot(state) == before);
    }

    auto foldGroup_unknownOperation_haltsAndKeepsState() -> void
    {
        auto state = makeState();
        const auto before = saveSnapshot(state);
        auto group = makeGroup(recordFormat);
        group.add_operations()->set_id("of a newer kind");
        CPPUNIT_ASSERT(foldGroup(state, group).empty());
        CPPUNIT_ASSERT(state.m_halted);
        CPPUNIT_ASSERT(saveSnapshot(state) == before);
    }

    auto foldRecord_garbage_isAnEmptyGroup() -> void
    {
        auto state = makeState();
        const auto next = state.m_nextOffset;
        CPPUNIT_ASSERT(foldRecord(state, "\xff\xff\xff").empty());
        CPPUNIT_ASSERT(!state.m_halted);
        CPPUNIT_ASSERT_EQUAL(next + 1, state.m_nextOffset);
    }

    auto foldGroup_staleVersion_isConflict() -> void
    {
        FleetState state;
        for (int i = 0; i < 2; ++i) {
            wire::Group group;
            auto& operation = *group.add_operations();
            operation.set_id(std::to_string(i));
            operation.mutable_set_default()->set_setting("team.limit");
            operation.mutable_set_default()->set_value(std::to_string(i));
            const auto error = foldGroup(state, group).front().m_error;
            CPPUNIT_ASSERT(error == (i == 0 ? ErrorKind::None : ErrorKind::Conflict));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("0"), state.m_configuration.m_defaults["team.limit"].m_value);
    }

    auto forgetRemovedEntries_withinKeepTime_preventsReuseOfId() -> void
    {
        FleetState state;
        const auto fold = [&](WallMillis at, bool join) {
            wire::Group group;
            group.set_stamped_at_ms(at);
            auto& operation = *group.add_operations();
            operation.set_id("op" + std::to_string(state.m_nextOffset));
            if (join) {
                operation.mutable_join_entry()->set_instance("e1");
                operation.mutable_join_entry()->set_zone("z");
                operation.mutable_join_entry()->set_address("x");
            } else {
                operation.mutable_remove_entry()->set_instance("e1");
            }
            return foldGroup(state, group).front().m_error;
        };
        CPPUNIT_ASSERT(fold(1000, true) == ErrorKind::None);
        CPPUNIT_ASSERT(fold(2000, false) == ErrorKind::None);
        CPPUNIT_ASSERT(fold(2000 + removedEntryKeepMs, true) == ErrorKind::Conflict);
        FailureReason reason;
        state = *loadSnapshot(saveSnapshot(state), reason);
        fold(2001 + removedEntryKeepMs, false);
        CPPUNIT_ASSERT(state.m_membership.m_entries.empty());
        CPPUNIT_ASSERT(state.m_membership.m_removed.empty());
    }

    auto snapshotNeed_recordsAgeAndRetention_giveDueOrOverdue() -> void
    {
        FleetState state;
        const auto limits = smallChunks();
        CPPUNIT_ASSERT(snapshotNeed(state, limits, 0, 5000) == SnapshotNeed::None);
        state.m_nextOffset = 50;
        CPPUNIT_ASSERT(snapshotNeed(state, limits, 0, 5000) == SnapshotNeed::Due);
        CPPUNIT_ASSERT(snapshotNeed(state, limits, 1, 5000) == SnapshotNeed::Overdue);
        state.m_snapshots.m_completeStartOffset = 51;
        state.m_snapshots.m_completeEndOffset = 50;
        state.m_snapshots.m_completeAtMs = 5000;
        CPPUNIT_ASSERT(snapshotNeed(state, limits, 50, 5999) == SnapshotNeed::None);
        CPPUNIT_ASSERT(snapshotNeed(state, limits, 50, 6000) == SnapshotNeed::Due);
        CPPUNIT_ASSERT(snapshotNeed(state, limits, 51, 5000) == SnapshotNeed::Overdue);
        state.m_nextOffset = 150;
        CPPUNIT_ASSERT(snapshotNeed(state, limits, 50, 5000) == SnapshotNeed::Due);
    }

    auto writeSnapshot_scannedByReader_givesEqualState() -> void
    {
        auto state = makeState();
        SnapshotReader reader;
        const auto before = saveSnapshot(state);
        auto writer = beginSnapshot(state, "e1/1", smallChunks());
        CPPUNIT_ASSERT(chunkCount(writer) > 2);
        CPPUNIT_ASSERT(finish(state, reader, writer));
        FailureReason reason;
        auto loaded = finishScan(reader, reason);
        CPPUNIT_ASSERT(loaded);
        CPPUNIT_ASSERT(saveSnapshot(*loaded) == before);
        CPPUNIT_ASSERT_EQUAL(loaded->m_nextOffset, state.m_snapshots.m_completeEndOffset);
    }

    auto writeSnapshot_racingWriters_oneCompletes() -> void
    {
        auto state = makeState();
        SnapshotReader reader;
        auto first = beginSnapshot(state, "e1/1", smallChunks());
        CPPUNIT_ASSERT(onChunkOutcome(first, append(state, reader, currentChunk(first))));
        auto second = beginSnapshot(state, "e2/1", smallChunks());
        CPPUNIT_ASSERT(onChunkOutcome(second, append(state, reader, currentChunk(second))));
        CPPUNIT_ASSERT(!onChunkOutcome(first, append(state, reader, currentChunk(first))));
        CPPUNIT_ASSERT(finish(state, reader, second));
        FailureReason reason;
        CPPUNIT_ASSERT_EQUAL(second.m_endOffset, finishScan(reader, reason)->m_nextOffset);
        CPPUNIT_ASSERT_EQUAL(second.m_endOffset, state.m_snapshots.m_completeEndOffset);
    }

    auto writeSnapshot_repeatedFirstChunk_stillCompletes() -> void
    {
        auto state = makeState();
        SnapshotReader reader;
        auto writer = beginSnapshot(state, "e1/1", smallChunks());
        const auto first = currentChunk(writer);
        CPPUNIT_ASSERT(onChunkOutcome(writer, append(state, reader, first)));
        append(state, reader, first);
        CPPUNIT_ASSERT(onChunkOutcome(writer, append(state, reader, currentChunk(writer))));
        append(state, reader, first);
        CPPUNIT_ASSERT(finish(state, reader, writer));
        CPPUNIT_ASSERT_EQUAL(writer.m_endOffset, reader.m_completeEndOffset);
        CPPUNIT_ASSERT_EQUAL(writer.m_endOffset, state.m_snapshots.m_completeEndOffset);
    }

    auto writeSnapshot_olderThanComplete_isConflict() -> void
    {
        auto state = makeState();
        SnapshotReader reader;
        auto olderWriter = beginSnapshot(state, "e1/1", smallChunks());
        foldRecord(state, "");
        auto newerWriter = beginSnapshot(state, "e2/1", smallChunks());
        CPPUNIT_ASSERT(finish(state, reader, newerWriter));
        CPPUNIT_ASSERT(append(state, reader, currentChunk(olderWriter)).m_error == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(newerWriter.m_endOffset, reader.m_completeEndOffset);
    }

    auto scanRecord_wrongHash_keepsOlderSnapshot() -> void
    {
        auto state = makeState();
        SnapshotReader reader;
        auto complete = beginSnapshot(state, "e1/1", smallChunks());
        finish(state, reader, complete);
        auto corrupted = beginSnapshot(state, "e1/2", smallChunks());
        corrupted.m_hash ^= 1;
        finish(state, reader, corrupted);
        CPPUNIT_ASSERT_EQUAL(complete.m_endOffset, reader.m_completeEndOffset);
    }

    auto scanRecord_missingChunk_keepsOlderSnapshot() -> void
    {
        auto state = makeState();
        SnapshotReader reader;
        auto complete = beginSnapshot(state, "e1/1", smallChunks());
        finish(state, reader, complete);
        auto incomplete = beginSnapshot(state, "e1/2", smallChunks());
        append(state, reader, currentChunk(incomplete));
        incomplete.m_nextIndex = 2;
        CPPUNIT_ASSERT(append(state, reader, currentChunk(incomplete)).m_error == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(complete.m_endOffset, reader.m_completeEndOffset);
    }

    auto chooseBootstrap_eachSituation_isAsDocumented() -> void
    {
        CPPUNIT_ASSERT(chooseBootstrap({ true, 0, false, 0, false }) == BootstrapSource::WholeLog);
        CPPUNIT_ASSERT(chooseBootstrap({ true, 0, true, 50, true }) == BootstrapSource::LogSnapshot);
        CPPUNIT_ASSERT(chooseBootstrap({ true, 50, true, 50, true }) == BootstrapSource::LogSnapshot);
        CPPUNIT_ASSERT(chooseBootstrap({ true, 51, true, 50, true }) == BootstrapSource::Peer);
        CPPUNIT_ASSERT(chooseBootstrap({ true, 9, false, 0, true }) == BootstrapSource::Peer);
        CPPUNIT_ASSERT(chooseBootstrap({ true, 9, false, 0, false }) == BootstrapSource::Wait);
        CPPUNIT_ASSERT(chooseBootstrap({ false, 0, false, 0, true }) == BootstrapSource::Peer);
        CPPUNIT_ASSERT(chooseBootstrap({ false, 0, false, 0, false }) == BootstrapSource::Wait);
    }

    auto hasDiverged_equalEndsOtherHash_isTrue() -> void
    {
        CPPUNIT_ASSERT(hasDiverged(5, 1, 5, 2));
        CPPUNIT_ASSERT(!hasDiverged(5, 1, 5, 1));
        CPPUNIT_ASSERT(!hasDiverged(5, 1, 6, 2));
        CPPUNIT_ASSERT(!hasDiverged(5, 1, 5, 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

} // namespace hemlockvane
