#include "fleet/CheckLasting.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace hemlockvane::fleetrun {

/// A task that lasts, accepted at 1,000; its first run starts at 2,000 and lapses at 20,000, the play ends at 60,000.
class FindMissingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FindMissingTest);
    CPPUNIT_TEST(run_untilTheEnd_isFine);
    CPPUNIT_TEST(away_lessThanNineSeconds_isAllowed);
    CPPUNIT_TEST(away_nineSeconds_isFound);
    CPPUNIT_TEST(away_untilTheEnd_isFound);
    CPPUNIT_TEST(away_neverStarted_isFoundFromItsAcceptanceOn);
    CPPUNIT_TEST(away_lessThanSevenSecondsOfCalm_isAllowed);
    CPPUNIT_TEST(away_sevenSecondsOfCalm_isFound);
    CPPUNIT_TEST(away_sevenSecondsOfCalmBetweenDisruptions_isFound);
    CPPUNIT_TEST(away_calmBeforeItOnly_isAllowed);
    CPPUNIT_TEST(away_anotherRunGoesOn_isAllowed);
    CPPUNIT_TEST(violation_record_namesTheLastRun);
    CPPUNIT_TEST_SUITE_END();

public:
    auto run_untilTheEnd_isFine() -> void { CPPUNIT_ASSERT(find({ run(2000, never) }).empty()); }

    auto away_lessThanNineSeconds_isAllowed() -> void
    {
        CPPUNIT_ASSERT(find({ run(2000, 20000), run(28999, never) }).empty());
    }

    auto away_nineSeconds_isFound() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, find({ run(2000, 20000), run(29000, never) }).size());
    }

    auto away_untilTheEnd_isFound() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, find({ run(2000, 20000) }).size());
    }

    auto away_neverStarted_isFoundFromItsAcceptanceOn() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, find({}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, find({ run(10000, never) }).size());
        CPPUNIT_ASSERT(find({ run(9999, never) }).empty());
    }

    auto away_lessThanSevenSecondsOfCalm_isAllowed() -> void
    {
        CPPUNIT_ASSERT(find({ run(2000, 20000), run(34999, never) }, { { 19000, 28000 } }).empty());
    }

    auto away_sevenSecondsOfCalm_isFound() -> void
    {
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, find({ run(2000, 20000), run(35000, never) }, { { 19000, 28000 } }).size());
    }

    auto away_sevenSecondsOfCalmBetweenDisruptions_isFound() -> void
    {
        const std::vector<TimeSpan> apart { { 19000, 28000 }, { 35000, 50000 } };
        const std::vector<TimeSpan> closer { { 19000, 28000 }, { 34999, 50000 } };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, find({ run(2000, 20000), run(51000, never) }, apart).size());
        CPPUNIT_ASSERT(find({ run(2000, 20000), run(51000, never) }, closer).empty());
    }

    auto away_calmBeforeItOnly_isAllowed() -> void
    {
        CPPUNIT_ASSERT(find({ run(2000, 20000), run(50000, never) }, { { 28999, 50000 } }).empty());
    }

    auto away_anotherRunGoesOn_isAllowed() -> void
    {
        CPPUNIT_ASSERT(find({ run(2000, 30000), run(3000, 4000), run(38000, never) }).empty());
    }

    auto violation_record_namesTheLastRun() -> void
    {
        const auto line = find({ run(2000, 30000), run(3000, 4000) }).at(0);
        CPPUNIT_ASSERT(line.starts_with("nothing of j.0.0.1 from 30000 to 60000, after [j.0.0.1 run 1 on "));
        CPPUNIT_ASSERT(line.find("start 2000 stop - end 30000 lapsed") != std::string::npos);
    }

private:
    static auto run(std::int64_t startedAt, std::int64_t endedAt) -> StartedRun
    {
        StartedRun run;
        run.m_task = "j.0.0.1";
        run.m_run = 1;
        run.m_startedAt = startedAt;
        run.m_endedAt = endedAt;
        run.m_how = endedAt == never ? "" : "lapsed";
        return run;
    }

    static auto find(const std::vector<StartedRun>& runs, const std::vector<TimeSpan>& disruptions = {})
        -> std::vector<std::string>
    {
        return findMissing("j.0.0.1", runs, 1000, disruptions, 60000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FindMissingTest);

} // namespace hemlockvane::fleetrun
