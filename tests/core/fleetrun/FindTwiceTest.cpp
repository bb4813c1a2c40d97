#include "fleet/CheckRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::fleetrun {

class FindTwiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FindTwiceTest);
    CPPUNIT_TEST(runs_oneAfterAFailedOne_areAllowed);
    CPPUNIT_TEST(runs_atOnce_areFound);
    CPPUNIT_TEST(runs_firstNotEnded_areFound);
    CPPUNIT_TEST(runs_atOnceWithDuplicatesAllowed_areAllowed);
    CPPUNIT_TEST(runs_firstCrashedBefore_areAllowed);
    CPPUNIT_TEST(start_afterDoneNotedLater_isFound);
    CPPUNIT_TEST(start_afterDoneNeverNoted_isAllowed);
    CPPUNIT_TEST(start_afterDoneWithLapsedLease_isAllowed);
    CPPUNIT_TEST(start_longAfterNotedWithDuplicates_isFound);
    CPPUNIT_TEST(start_soonAfterNotedWithDuplicates_isAllowed);
    CPPUNIT_TEST(start_longAfterNotedByStarterOutOfTouch_isAllowed);
    CPPUNIT_TEST(start_longAfterNotedCarriedOutLate_isAllowed);
    CPPUNIT_TEST(start_longAfterJobShownAsCompleted_isFound);
    CPPUNIT_TEST(start_soonAfterJobShownAsCompleted_isAllowed);
    CPPUNIT_TEST(start_longAfterOtherJobShownAsCompleted_isAllowed);
    CPPUNIT_TEST(violation_record_namesBothRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    auto runs_oneAfterAFailedOne_areAllowed() -> void { CPPUNIT_ASSERT(find(ended("failed"), startAt(200)).empty()); }

    auto runs_atOnce_areFound() -> void { CPPUNIT_ASSERT(find(ended("stopped"), startAt(99)).size() == 1); }

    auto runs_firstNotEnded_areFound() -> void { CPPUNIT_ASSERT(find(startAt(0), startAt(200)).size() == 1); }

    auto runs_atOnceWithDuplicatesAllowed_areAllowed() -> void
    {
        CPPUNIT_ASSERT(find(mayRunTwice(ended("done")), mayRunTwice(startAt(50))).empty());
    }

    auto runs_firstCrashedBefore_areAllowed() -> void { CPPUNIT_ASSERT(find(ended("crashed"), startAt(100)).empty()); }

    auto start_afterDoneNotedLater_isFound() -> void
    {
        CPPUNIT_ASSERT(find(ended("done", 5000), startAt(200)).size() == 1);
    }

    auto start_afterDoneNeverNoted_isAllowed() -> void { CPPUNIT_ASSERT(find(ended("done"), startAt(200)).empty()); }

    auto start_afterDoneWithLapsedLease_isAllowed() -> void
    {
        auto first = ended("done", 5000);
        first.m_hasLapsed = true;
        CPPUNIT_ASSERT(find(first, startAt(9000)).empty());
    }

    auto start_longAfterNotedWithDuplicates_isFound() -> void
    {
        CPPUNIT_ASSERT(find(mayRunTwice(ended("done", 150)), mayRunTwice(startAt(1151))).size() == 1);
    }

    auto start_soonAfterNotedWithDuplicates_isAllowed() -> void
    {
        CPPUNIT_ASSERT(find(mayRunTwice(ended("done", 150)), mayRunTwice(startAt(1150))).empty());
    }

    auto start_longAfterNotedByStarterOutOfTouch_isAllowed() -> void
    {
        auto second = mayRunTwice(startAt(9000));
        second.m_isStarterInTouch = false;
        CPPUNIT_ASSERT(find(mayRunTwice(ended("done", 150)), second).empty());
    }

    auto start_longAfterNotedCarriedOutLate_isAllowed() -> void
    {
        auto second = mayRunTwice(startAt(9000));
        second.m_isLate = true;
        CPPUNIT_ASSERT(find(mayRunTwice(ended("done", 150)), second).empty());
    }

    auto start_longAfterJobShownAsCompleted_isFound() -> void
    {
        CPPUNIT_ASSERT(find(ended("done"), startAt(1301), { { "j", 300 } }).size() == 1);
    }

    auto start_soonAfterJobShownAsCompleted_isAllowed() -> void
    {
        CPPUNIT_ASSERT(find(ended("done"), startAt(1300), { { "j", 300 } }).empty());
    }

    auto start_longAfterOtherJobShownAsCompleted_isAllowed() -> void
    {
        CPPUNIT_ASSERT(find(ended("done"), startAt(9000), { { "k", 300 } }).empty());
    }

    auto violation_record_namesBothRuns() -> void
    {
        auto first = ended("done", 150);
        first.m_executor = "e1";
        auto second = startAt(50);
        second.m_executor = "e2";
        const auto line = find(first, second).at(0);
        CPPUNIT_ASSERT(line.find("on e1") != std::string::npos && line.find("on e2") != std::string::npos);
        CPPUNIT_ASSERT(line.find("stop - end 100 done noted 150") != std::string::npos);
    }

private:
    static auto startAt(std::int64_t time) -> StartedRun
    {
        StartedRun run;
        run.m_task = "j.0.0.1";
        run.m_isStarterInTouch = true;
        run.m_startedAt = time;
        return run;
    }

    static auto ended(const std::string& how, std::int64_t notedAt = never) -> StartedRun
    {
        auto run = startAt(0);
        run.m_endedAt = 100;
        run.m_how = how;
        run.m_notedAt = notedAt;
        return run;
    }

    static auto mayRunTwice(StartedRun run) -> StartedRun
    {
        run.m_mayRunTwice = true;
        return run;
    }

    static auto find(const StartedRun& first, const StartedRun& second, const TimeByJob& completedAt = {})
        -> std::vector<std::string>
    {
        return findTwice(std::vector { first, second }, completedAt, 10000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FindTwiceTest);

} // namespace hemlockvane::fleetrun
