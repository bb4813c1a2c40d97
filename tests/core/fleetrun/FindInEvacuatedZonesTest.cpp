#include "fleet/CheckEvacuations.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::fleetrun {

/// The zone "north" is evacuated from 1,000 to 20,000 ms.
class FindInEvacuatedZonesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FindInEvacuatedZonesTest);
    CPPUNIT_TEST(start_afterTheBound_isFound);
    CPPUNIT_TEST(start_withinTheBound_isAllowed);
    CPPUNIT_TEST(start_inOtherZone_isAllowed);
    CPPUNIT_TEST(start_afterRestore_isAllowed);
    CPPUNIT_TEST(start_neverRestored_isFound);
    CPPUNIT_TEST(start_byStarterOutOfTouch_isAllowed);
    CPPUNIT_TEST(start_carriedOutLate_isAllowed);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override { m_evacuations = { { "north", 1000, 20000 } }; }

    auto start_afterTheBound_isFound() -> void { CPPUNIT_ASSERT(isFound(startAt(6001))); }

    auto start_withinTheBound_isAllowed() -> void { CPPUNIT_ASSERT(!isFound(startAt(6000))); }

    auto start_inOtherZone_isAllowed() -> void
    {
        auto run = startAt(7000);
        run.m_zone = "south";
        CPPUNIT_ASSERT(!isFound(run));
    }

    auto start_afterRestore_isAllowed() -> void { CPPUNIT_ASSERT(!isFound(startAt(20000))); }

    auto start_neverRestored_isFound() -> void
    {
        m_evacuations.front().m_restoredAt = never;
        CPPUNIT_ASSERT(isFound(startAt(20000)));
    }

    auto start_byStarterOutOfTouch_isAllowed() -> void
    {
        auto run = startAt(7000);
        run.m_isStarterInTouch = false;
        CPPUNIT_ASSERT(!isFound(run));
    }

    auto start_carriedOutLate_isAllowed() -> void
    {
        auto run = startAt(7000);
        run.m_isLate = true;
        CPPUNIT_ASSERT(!isFound(run));
    }

private:
    static auto startAt(std::int64_t at) -> StartedRun
    {
        StartedRun run;
        run.m_zone = "north";
        run.m_isStarterInTouch = true;
        run.m_startedAt = at;
        return run;
    }

    auto isFound(const StartedRun& run) const -> bool
    {
        return !findInEvacuatedZones(std::span(&run, 1), m_evacuations).empty();
    }

    std::vector<Evacuation> m_evacuations;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FindInEvacuatedZonesTest);

} // namespace hemlockvane::fleetrun
