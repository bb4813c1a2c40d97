#include "hemlockvane/log.h"

#include "hemlockvane/records.pb.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class AppenderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AppenderTest);
    CPPUNIT_TEST(nextAppend_manyQueued_groupsThemInOneRecord);
    CPPUNIT_TEST(nextAppend_groupOverItsBounds_isSplit);
    CPPUNIT_TEST(nextAppend_oneInFlight_waits);
    CPPUNIT_TEST(nextAppend_aboveRate_waitsForToken);
    CPPUNIT_TEST(setAppendRate_manyMembers_staysWithinBudget);
    CPPUNIT_TEST(onFolded_acceptedOperation_givesItsOutcome);
    CPPUNIT_TEST(onFolded_duplicateOfAnotherEntry_givesFirstOutcome);
    CPPUNIT_TEST(onCaughtUp_lostAppendNotInLog_appendsSameIdAgain);
    CPPUNIT_TEST(onCaughtUp_readSentBeforeLoss_doesNotAppendAgain);
    CPPUNIT_TEST(onCaughtUp_lostAppendTookEffect_appliesOnce);
    CPPUNIT_TEST(onSnapshotLoaded_outcomeInWindow_completesOperation);
    CPPUNIT_TEST(expire_neverSent_isLogUnavailable);
    CPPUNIT_TEST(expire_sentAndNotReadBack_isOutcomeUnknown);
    CPPUNIT_TEST(expire_notAppended_isLogUnavailable);
    CPPUNIT_TEST(expire_lostThenNotAppended_isOutcomeUnknown);
    CPPUNIT_TEST(expire_outage_rejectsUnsentAtOnceExceptKeptOnes);
    CPPUNIT_TEST(enqueue_outage_refusesUntilProbeSucceeds);
    CPPUNIT_TEST(enqueue_fullQueue_refuses);
    CPPUNIT_TEST(enqueue_sameIdAnotherChange_isConflict);
    CPPUNIT_TEST(enqueue_repeatedExpiry_staysBounded);
    CPPUNIT_TEST_SUITE_END();

    static auto at(int milliseconds) -> Instant { return Instant(Duration(milliseconds)); }

    static auto limits() -> AppenderLimits
    {
        AppenderLimits limits;
        limits.m_queuedOperations = 8;
        limits.m_groupOperations = 4;
        limits.m_groupBytes = 4096;
        limits.m_appendsPerSecond = 10;
        limits.m_burstAppends = 3;
        limits.m_answerTimeout = Duration(1000);
        limits.m_retryDelay = Duration(100);
        limits.m_outageAfter = Duration(2000);
        return limits;
    }

    static auto makeDefault(const std::string& id, const std::string& value = "7") -> wire::Operation
    {
        wire::Operation operation;
        operation.set_id(id);
        operation.mutable_set_default()->set_setting("wave.width");
        operation.mutable_set_default()->set_value(value);
        operation.mutable_set_default()->set_author("ana");
        operation.mutable_set_default()->set_expected_version(1000);
        return operation;
    }

    auto enqueueDefault(const std::string& id, int now, int deadline = 100000) -> bool
    {
        FailureReason reason;
        const auto queued = enqueue(m_state, makeDefault(id), { at(deadline), false }, at(now), reason);
        m_kind = reason.m_kind;
        return queued;
    }

    auto next(int now) -> std::optional<PendingAppend> { return nextAppend(m_state, "e1", 0, at(now)); }

    auto fold(const PendingAppend& append) -> std::vector<OperationResult>
    {
        return onFolded(m_state, foldRecord(m_fleet, append.m_record), m_fleet.m_operations);
    }

    AppenderState m_state;
    FleetState m_fleet;
    ErrorKind m_kind = ErrorKind::None;

public:
    auto setUp() -> void override
    {
        m_state = makeAppender(limits(), at(0));
        m_fleet = {};
        m_kind = ErrorKind::None;
    }

    auto nextAppend_manyQueued_groupsThemInOneRecord() -> void
    {
        enqueueDefault("a", 0);
        enqueueDefault("b", 0);
        const auto append = next(0);
        CPPUNIT_ASSERT(append);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), append->m_ids.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fold(*append).size());
        CPPUNIT_ASSERT_EQUAL(Offset(1), m_fleet.m_nextOffset);
    }

    auto nextAppend_groupOverItsBounds_isSplit() -> void
    {
        for (const auto* id : { "a", "b", "c", "d", "e" })
            enqueueDefault(id, 0);
        const auto first = next(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), first->m_ids.size());
        onAppendOutcome(m_state, first->m_number, AppendOutcome::Appended, at(1));
        CPPUNIT_ASSERT_EQUAL(std::string("e"), next(1)->m_ids.front());

        m_state = makeAppender(limits(), at(0));
        m_state.m_limits.m_groupBytes = makeDefault("a").ByteSizeLong() + 1;
        enqueueDefault("a", 0);
        enqueueDefault("b", 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next(0)->m_ids.size());
    }

    auto nextAppend_oneInFlight_waits() -> void
    {
        enqueueDefault("a", 0);
        const auto append = next(0);
        enqueueDefault("b", 0);
        CPPUNIT_ASSERT(!next(1));
        onAppendOutcome(m_state, append->m_number, AppendOutcome::Appended, at(2));
        CPPUNIT_ASSERT(next(2));
    }

    auto nextAppend_aboveRate_waitsForToken() -> void
    {
        for (const auto* id : { "a", "b", "c" }) {
            enqueueDefault(id, 0);
            onAppendOutcome(m_state, next(0)->m_number, AppendOutcome::Appended, at(0));
        }
        enqueueDefault("d", 0);
        CPPUNIT_ASSERT(!next(0));
        CPPUNIT_ASSERT(!next(99));
        CPPUNIT_ASSERT(next(100));
    }

    auto setAppendRate_manyMembers_staysWithinBudget() -> void
    {
        setAppendRate(m_state, 300, 60);
        auto appends = 0;
        for (int now = 0; now < 10000; now += 20) {
            enqueueDefault(std::to_string(now), now);
            if (const auto append = next(now)) {
                ++appends;
                onAppendOutcome(m_state, append->m_number, AppendOutcome::Appended, at(now));
                fold(*append);
            }
        }
        CPPUNIT_ASSERT(appends >= 50);
        CPPUNIT_ASSERT(appends <= 53);
    }

    auto onFolded_acceptedOperation_givesItsOutcome() -> void
    {
        enqueueDefault("a", 0);
        const auto outcomes = fold(*next(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].m_error == ErrorKind::None);
        CPPUNIT_ASSERT(m_state.m_operations.empty());
    }

    auto onFolded_duplicateOfAnotherEntry_givesFirstOutcome() -> void
    {
        wire::Group otherGroup;
        otherGroup.set_format(recordFormat);
        *otherGroup.add_operations() = makeDefault("a");
        foldGroup(m_fleet, otherGroup);
        enqueueDefault("a", 0);
        const auto outcomes = fold(*next(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].m_error == ErrorKind::None);
        CPPUNIT_ASSERT_EQUAL(Offset(1), outcomes[0].m_offset);
    }

    auto onCaughtUp_lostAppendNotInLog_appendsSameIdAgain() -> void
    {
        enqueueDefault("a", 0);
        onAppendOutcome(m_state, next(0)->m_number, AppendOutcome::Unknown, at(10));
        CPPUNIT_ASSERT(!next(200));
        onCaughtUp(m_state, at(11));
        const auto again = next(200);
        CPPUNIT_ASSERT(again);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), again->m_ids.front());
    }

    auto onCaughtUp_readSentBeforeLoss_doesNotAppendAgain() -> void
    {
        enqueueDefault("a", 0);
        onAppendOutcome(m_state, next(0)->m_number, AppendOutcome::Unknown, at(10));
        onCaughtUp(m_state, at(9));
        CPPUNIT_ASSERT(!next(200));
    }

    auto onCaughtUp_lostAppendTookEffect_appliesOnce() -> void
    {
        enqueueDefault("a", 0);
        const auto first = next(0);
        onAppendOutcome(m_state, first->m_number, AppendOutcome::Unknown, at(10));
        onCaughtUp(m_state, at(11));
        const auto second = next(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fold(*first).size());
        CPPUNIT_ASSERT(fold(*second).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fleet.m_configuration.m_history.size());
    }

    auto onSnapshotLoaded_outcomeInWindow_completesOperation() -> void
    {
        enqueueDefault("a", 0);
        const auto append = next(0);
        onAppendOutcome(m_state, append->m_number, AppendOutcome::Appended, at(10));
        foldRecord(m_fleet, append->m_record);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), onSnapshotLoaded(m_state, m_fleet.m_operations).size());
        onCaughtUp(m_state, at(11));
        CPPUNIT_ASSERT(!next(200));
    }

    auto expire_neverSent_isLogUnavailable() -> void
    {
        enqueueDefault("a", 0, 500);
        CPPUNIT_ASSERT(expire(m_state, at(499)).empty());
        const auto outcomes = expire(m_state, at(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].m_error == ErrorKind::LogUnavailable);
        CPPUNIT_ASSERT(!next(500));
    }

    auto expire_sentAndNotReadBack_isOutcomeUnknown() -> void
    {
        enqueueDefault("a", 0, 500);
        next(0);
        const auto outcomes = expire(m_state, at(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].m_error == ErrorKind::OutcomeUnknown);
    }

    auto expire_notAppended_isLogUnavailable() -> void
    {
        enqueueDefault("a", 0, 500);
        onAppendOutcome(m_state, next(0)->m_number, AppendOutcome::NotAppended, at(10));
        CPPUNIT_ASSERT(expire(m_state, at(500))[0].m_error == ErrorKind::LogUnavailable);
    }

    auto expire_lostThenNotAppended_isOutcomeUnknown() -> void
    {
        enqueueDefault("a", 0, 500);
        onAppendOutcome(m_state, next(0)->m_number, AppendOutcome::Unknown, at(10));
        onCaughtUp(m_state, at(20));
        onAppendOutcome(m_state, next(200)->m_number, AppendOutcome::NotAppended, at(210));
        CPPUNIT_ASSERT(expire(m_state, at(500))[0].m_error == ErrorKind::OutcomeUnknown);
    }

    auto expire_outage_rejectsUnsentAtOnceExceptKeptOnes() -> void
    {
        FailureReason reason;
        enqueueDefault("a", 0);
        enqueue(m_state, makeDefault("b"), { Instant::max(), true }, at(0), reason);
        for (int now = 0; now <= 2000; now += 200)
            onAppendOutcome(m_state, next(now)->m_number, AppendOutcome::NotAppended, at(now));
        const auto outcomes = expire(m_state, at(2001));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].m_error == ErrorKind::LogUnavailable);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), next(2300)->m_ids.front());
    }

    auto enqueue_outage_refusesUntilProbeSucceeds() -> void
    {
        enqueueDefault("a", 0);
        for (int now = 0; now <= 2000; now += 200)
            onAppendOutcome(m_state, next(now)->m_number, AppendOutcome::NotAppended, at(now));
        CPPUNIT_ASSERT(!enqueueDefault("b", 2050));
        CPPUNIT_ASSERT(m_kind == ErrorKind::LogUnavailable);
        CPPUNIT_ASSERT(enqueueDefault("c", 2200));
        const auto probe = next(2200);
        CPPUNIT_ASSERT(!enqueueDefault("d", 2210));
        onAppendOutcome(m_state, probe->m_number, AppendOutcome::Appended, at(2220));
        CPPUNIT_ASSERT(enqueueDefault("d", 2221));
    }

    auto enqueue_fullQueue_refuses() -> void
    {
        for (int i = 0; i < 8; ++i)
            CPPUNIT_ASSERT(enqueueDefault(std::to_string(i), 0));
        CPPUNIT_ASSERT(!enqueueDefault("8", 0));
        CPPUNIT_ASSERT(m_kind == ErrorKind::QueueFull);
    }

    auto enqueue_sameIdAnotherChange_isConflict() -> void
    {
        FailureReason reason;
        CPPUNIT_ASSERT(enqueueDefault("a", 0));
        CPPUNIT_ASSERT(enqueueDefault("a", 0));
        CPPUNIT_ASSERT(!enqueue(m_state, makeDefault("a", "8"), {}, at(0), reason));
        CPPUNIT_ASSERT(reason.m_kind == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next(0)->m_ids.size());
    }

    auto enqueue_repeatedExpiry_staysBounded() -> void
    {
        for (int now = 0; now < 10000; now += 100) {
            enqueueDefault("a", now, now + 50);
            if (const auto append = next(now))
                onAppendOutcome(m_state, append->m_number, AppendOutcome::Unknown, at(now + 1));
            expire(m_state, at(now + 99));
        }
        CPPUNIT_ASSERT(m_state.m_operations.empty());
        CPPUNIT_ASSERT(m_state.m_waiting.empty());
        CPPUNIT_ASSERT(m_state.m_unconfirmed.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AppenderTest);

} // namespace hemlockvane
