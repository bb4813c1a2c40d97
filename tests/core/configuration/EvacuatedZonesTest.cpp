#include "hemlockvane/configuration/EvacuatedZones.h"

#include "core/placement/PlacementFixture.h"

#include "hemlockvane/configuration/ValidateChange.h"
#include "hemlockvane/placement/FleetCapacity.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane {

/// Eight workers in four zones, of which one is evacuated by an exception.
class EvacuatedZonesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EvacuatedZonesTest);
    CPPUNIT_TEST(zone_exceptionInForce_isEvacuated);
    CPPUNIT_TEST(zone_exceptionExpired_isNotEvacuated);
    CPPUNIT_TEST(zone_exceptionRemoved_isNotEvacuated);
    CPPUNIT_TEST(default_evacuatingAllZones_isRefused);
    CPPUNIT_TEST(worker_inEvacuatedZone_acceptsNoJobs);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_placement.addWorkers(8);
        m_zone = state().m_pools.m_instances.begin()->second.m_zone;
    }

    auto zone_exceptionInForce_isEvacuated() -> void
    {
        except(evacuated());
        CPPUNIT_ASSERT(evacuatedZones(state().m_configuration, now) == Zones { m_zone });
    }

    // Guards against a zone that stays empty because nobody took the exception back.
    auto zone_exceptionExpired_isNotEvacuated() -> void
    {
        auto item = evacuated();
        item.m_expiresAt = now;
        except(item);
        CPPUNIT_ASSERT(evacuatedZones(state().m_configuration, now).empty());
    }

    auto zone_exceptionRemoved_isNotEvacuated() -> void
    {
        auto item = evacuated();
        item.m_removed = true;
        except(item);
        CPPUNIT_ASSERT(evacuatedZones(state().m_configuration, now).empty());
    }

    // Guards against one word that takes the whole fleet out of service.
    auto default_evacuatingAllZones_isRefused() -> void
    {
        FailureReason reason;
        CPPUNIT_ASSERT(!validateDefault("zone.evacuated", "1", reason));
        CPPUNIT_ASSERT(validateException("zone.evacuated", m_zone, "1", "maintenance of the power supply", reason));
    }

    auto worker_inEvacuatedZone_acceptsNoJobs() -> void
    {
        CPPUNIT_ASSERT(accepting(m_zone) > 0);
        except(evacuated());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 0 }, accepting(m_zone));
        CPPUNIT_ASSERT(accepting({}) > 0);
    }

private:
    using Zones = std::set<std::string, std::less<>>;

    auto state() -> FleetState& { return m_placement.m_fleet.m_state; }

    static auto evacuated() -> ConfigurationItem
    {
        ConfigurationItem item;
        item.m_value = "1";
        return item;
    }

    auto except(ConfigurationItem item) -> void
    {
        state().m_configuration.m_exceptions[{ "zone.evacuated", m_zone }] = std::move(item);
    }

    // Number of workers that accept jobs in a zone; empty: in all zones.
    auto accepting(const std::string& zone) -> std::ptrdiff_t
    {
        const auto capacity = buildFleetCapacity(state(), m_placement.m_state, m_placement.m_now, now);
        return std::count_if(capacity.m_workers.begin(), capacity.m_workers.end(), [&](const WorkerCapacity& worker) {
            return worker.m_acceptsJobs && (zone.empty() || worker.m_instance->m_zone == zone);
        });
    }

    static constexpr WallMillis now = 5000000;

    PlacementFixture m_placement;
    std::string m_zone;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedZonesTest);

} // namespace hemlockvane
