#include "hemlockvane/detail/intake/SubmissionWriter.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/ports/RecordStore.h"

#include <boost/asio/co_spawn.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

/// A store that answers each append after a time, in the way that the test chooses, and records the appends.
class SlowStore : public RecordStore {
public:
    auto append(StoreAppend request, Duration timeout) -> asio::awaitable<StoreAppendResult> override
    {
        const auto kind = m_kind;
        m_appends.push_back(std::move(request.m_records));
        m_mostInFlight = std::max(m_mostInFlight, ++m_inFlight);
        co_await sleepFor(std::min(m_answerTime, timeout));
        --m_inFlight;
        StoreAppendResult result;
        result.m_kind = m_answerTime > timeout ? StoreAppendKind::Unknown : kind;
        co_return result;
    }

    auto read(std::string, std::uint64_t, Duration) -> asio::awaitable<std::optional<StoreRead>> override
    {
        co_return std::nullopt;
    }

    auto newest(std::string) -> asio::awaitable<std::optional<TopicContent>> override { co_return std::nullopt; }

    Duration m_answerTime { 20 };
    StoreAppendKind m_kind = StoreAppendKind::Stored;
    std::vector<std::vector<std::string>> m_appends; ///< Records of each append.
    int m_inFlight = 0;
    int m_mostInFlight = 0;
};

} // namespace

class SubmissionWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SubmissionWriterTest);
    CPPUNIT_TEST(submission_storeIdle_isAppendedAtOnceAndAlone);
    CPPUNIT_TEST(submissions_storeSlow_shareFewAppends);
    CPPUNIT_TEST(submissions_storeUnanswered_areRepeatedTogether);
    CPPUNIT_TEST(submission_deadlineBeforeItWasSent_isRefusedAndNeverSent);
    CPPUNIT_TEST(submission_deadlineWhileInFlight_isUnknown);
    CPPUNIT_TEST(submission_refused_isRefusedAtOnce);
    CPPUNIT_TEST(submission_refusedAfterUnansweredOne_isRepeatedUntilStored);
    CPPUNIT_TEST(submission_refusedAfterUnansweredOne_isUnknownAtDeadline);
    CPPUNIT_TEST(submission_large_isAppendedAlone);
    CPPUNIT_TEST(submission_largerThanARecord_isTooLargeAndNeverSent);
    CPPUNIT_TEST(submissions_beyondTheStoresLimit_areDivided);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_store = {};
        m_outcomes.clear();
        m_writer = std::make_unique<SubmissionWriter>(*m_context, m_store);
    }

    auto submission_storeIdle_isAppendedAtOnceAndAlone() -> void
    {
        submit("a");
        run([this] { return settled() == 1; });
        submit("b");
        run([this] { return settled() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_store.m_appends.size());
        CPPUNIT_ASSERT(outcome(0) == IntakeOutcome::Stored && outcome(1) == IntakeOutcome::Stored);
    }

    // Guards against a partition that is kept full by an append of its own for each caller.
    auto submissions_storeSlow_shareFewAppends() -> void
    {
        m_store.m_answerTime = Duration(100);
        for (int caller = 0; caller < callers; ++caller)
            submit("job " + std::to_string(caller));
        run([this] { return settled() == callers; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, m_store.m_appends.size());
        CPPUNIT_ASSERT_EQUAL(3, m_store.m_mostInFlight);
        CPPUNIT_ASSERT_EQUAL(std::size_t { callers - 3 }, m_store.m_appends.back().size());
        for (int caller = 0; caller < callers; ++caller)
            CPPUNIT_ASSERT(outcome(caller) == IntakeOutcome::Stored);
    }

    auto submissions_storeUnanswered_areRepeatedTogether() -> void
    {
        m_store.m_kind = StoreAppendKind::Unknown;
        for (int caller = 0; caller < callers; ++caller)
            submit("job " + std::to_string(caller));
        run([this] { return m_store.m_appends.size() >= 4; });
        m_store.m_kind = StoreAppendKind::Stored;
        run([this] { return settled() == callers; });
        CPPUNIT_ASSERT(m_store.m_appends.size() <= 8);
        for (int caller = 0; caller < callers; ++caller)
            CPPUNIT_ASSERT(outcome(caller) == IntakeOutcome::Stored);
    }

    auto submission_deadlineBeforeItWasSent_isRefusedAndNeverSent() -> void
    {
        m_store.m_answerTime = Duration(300);
        for (const auto* record : { "a", "b", "c" })
            submit(record);
        submit("late", Duration(50));
        run([this] { return settled() == 4; });
        CPPUNIT_ASSERT(outcome(3) == IntakeOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_store.m_appends.size());
    }

    auto submission_deadlineWhileInFlight_isUnknown() -> void
    {
        m_store.m_answerTime = Duration(300);
        submit("a", Duration(50));
        run([this] { return settled() == 1; });
        CPPUNIT_ASSERT(outcome(0) == IntakeOutcome::Unknown);
    }

    auto submission_refused_isRefusedAtOnce() -> void
    {
        m_store.m_kind = StoreAppendKind::Refused;
        submit("a");
        run([this] { return settled() == 1; });
        CPPUNIT_ASSERT(outcome(0) == IntakeOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_store.m_appends.size());
    }

    // Guards against "not accepted" for a job that an earlier append may still store.
    auto submission_refusedAfterUnansweredOne_isRepeatedUntilStored() -> void
    {
        m_store.m_kind = StoreAppendKind::Unknown;
        submit("a");
        run([this] { return m_store.m_appends.size() == 1 && m_store.m_inFlight == 0; });
        m_store.m_kind = StoreAppendKind::Refused;
        run([this] { return m_store.m_appends.size() == 2 && m_store.m_inFlight == 0; });
        CPPUNIT_ASSERT_EQUAL(0, settled());
        m_store.m_kind = StoreAppendKind::Stored;
        run([this] { return settled() == 1; });
        CPPUNIT_ASSERT(outcome(0) == IntakeOutcome::Stored);
    }

    auto submission_refusedAfterUnansweredOne_isUnknownAtDeadline() -> void
    {
        m_store.m_kind = StoreAppendKind::Unknown;
        submit("a", Duration(400));
        run([this] { return m_store.m_appends.size() == 1 && m_store.m_inFlight == 0; });
        m_store.m_kind = StoreAppendKind::Refused;
        run([this] { return settled() == 1; });
        CPPUNIT_ASSERT(m_store.m_appends.size() >= 2);
        CPPUNIT_ASSERT(outcome(0) == IntakeOutcome::Unknown);
    }

    // Guards against a record that the store refuses for its size and that has others refused with it.
    auto submission_large_isAppendedAlone() -> void
    {
        for (const auto* record : { "a", "b", "c" })
            submit(record);
        submit("d");
        submit(std::string(100000, 'x'));
        submit("e");
        run([this] { return settled() == 6; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, m_store.m_appends.size());
        for (const auto& records : m_store.m_appends)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
    }

    // Guards against a caller told to come back with a job that the store refuses each time.
    auto submission_largerThanARecord_isTooLargeAndNeverSent() -> void
    {
        m_writer = std::make_unique<SubmissionWriter>(*m_context, m_store, StoreLimits { 100, 200 });
        submit(std::string(101, 'x'));
        submit(std::string(100, 'x'));
        run([this] { return settled() == 2; });
        CPPUNIT_ASSERT(outcome(0) == IntakeOutcome::TooLarge);
        CPPUNIT_ASSERT(outcome(1) == IntakeOutcome::Stored);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_store.m_appends.size());
    }

    // Guards against an append that the store refuses with all submissions in it.
    auto submissions_beyondTheStoresLimit_areDivided() -> void
    {
        m_writer = std::make_unique<SubmissionWriter>(*m_context, m_store, StoreLimits { 100, 200 });
        for (int caller = 0; caller < callers; ++caller)
            submit(std::string(40, 'x'));
        run([this] { return settled() == callers; });
        for (const auto& records : m_store.m_appends)
            CPPUNIT_ASSERT(records.size() * (40 + 4) <= 200);
    }

private:
    static constexpr int callers = 40;

    auto submit(std::string record, Duration deadline = Duration(5000)) -> void
    {
        const auto index = m_outcomes.size();
        m_outcomes.emplace_back();
        asio::co_spawn(*m_context, m_writer->store(std::move(record), monotonicNow() + deadline),
            [this, index](const std::exception_ptr&, IntakeOutcome outcome) { m_outcomes[index] = outcome; });
    }

    template <typename Condition> auto run(Condition condition) -> void
    {
        m_context->restart(); // It stops when nothing is left to do.
        for (int round = 0; round < 500 && !condition(); ++round)
            m_context->run_for(Duration(10));
        CPPUNIT_ASSERT(condition());
    }

    auto settled() const -> int
    {
        return static_cast<int>(std::count_if(m_outcomes.begin(), m_outcomes.end(),
            [](const std::optional<IntakeOutcome>& outcome) { return outcome.has_value(); }));
    }

    auto outcome(int caller) const -> IntakeOutcome { return m_outcomes[static_cast<std::size_t>(caller)].value(); }

    std::unique_ptr<asio::io_context> m_context;
    SlowStore m_store;
    std::unique_ptr<SubmissionWriter> m_writer;
    std::vector<std::optional<IntakeOutcome>> m_outcomes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmissionWriterTest);

} // namespace hemlockvane::detail
