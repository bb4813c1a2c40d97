#include "hemlockvane/detail/rules/RulesFollower.h"

#include "hemlockvane/detail/ports/KeyedRecord.h"
#include "shell/coordinator/MemoryStore.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

namespace {

const std::string topic = "keyed.op";
const std::string rulesKey = "config";
constexpr Duration settleTime { 100 };
constexpr Duration longestRead { 1000 }; // A read without news waits for 700 ms.

auto decodeVersion(std::string_view text) -> std::optional<OperatorRules>
{
    OperatorRules rules;
    rules.m_fleet.m_version = std::stoll(std::string(text));
    return rules;
}

auto decodeZone(std::string_view key) -> std::optional<std::string>
{
    return key.starts_with("evacuate/") ? std::optional(std::string(key.substr(9))) : std::nullopt;
}

// Drops its history once, as a store does that has deleted the records that a reader asks for.
class ForgettingStore : public MemoryStore {
public:
    auto read(std::string name, std::uint64_t from, Duration wait)
        -> boost::asio::awaitable<std::optional<StoreRead>> override
    {
        auto result = co_await MemoryStore::read(std::move(name), from, wait);
        if (m_forgets && result)
            result->m_isExpired = std::exchange(m_forgets, false);
        co_return result;
    }

    bool m_forgets = false;
};

using Zones = std::set<std::string>;

} // namespace

class RulesFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RulesFollowerTest);
    CPPUNIT_TEST(changes_severalInOneRead_onlyNewestIsInForce);
    CPPUNIT_TEST(changes_moreThanOneReadHolds_onlyNewestIsInForce);
    CPPUNIT_TEST(changes_olderAfterNewer_isIgnored);
    CPPUNIT_TEST(restart_olderRecordOfSameKey_isNotInForce);
    CPPUNIT_TEST(evacuation_written_isInForceWithTheSameVersion);
    CPPUNIT_TEST(evacuation_valueUnreadable_isInForce);
    CPPUNIT_TEST(evacuation_deleted_isNotInForce);
    CPPUNIT_TEST(evacuation_beforeFirstConfiguration_isInForceWithIt);
    CPPUNIT_TEST(evacuation_newConfiguration_staysInForce);
    CPPUNIT_TEST(evacuation_deletedWhileHistoryIsLost_isNotInForce);
    CPPUNIT_TEST(evacuation_historyIsLost_staysInForce);
    CPPUNIT_TEST(evacuation_storeAway_staysInForce);
    CPPUNIT_TEST(evacuation_restart_isInForce);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        m_store = ForgettingStore {};
        m_versions.clear();
        write(1);
        RulesSource source;
        source.m_topic = topic;
        source.m_rulesKey = rulesKey;
        source.m_decode = decodeVersion;
        source.m_evacuatedZone = decodeZone;
        source.m_onOtherRecord = [](std::string_view, std::string_view) {};
        m_zones.clear();
        m_follower = std::make_unique<RulesFollower>(*m_context, m_store, source, [this](const OperatorRules& rules) {
            m_versions.push_back(rules.m_fleet.m_version);
            m_zones.push_back(rules.m_fleet.m_evacuatedZones);
        });
    }

    auto tearDown() -> void override
    {
        m_follower.reset();
        m_context.reset();
    }

    // Guards against decisions by a configuration that has been replaced by the time it is read.
    auto changes_severalInOneRead_onlyNewestIsInForce() -> void
    {
        m_follower->start();
        m_context->run_for(settleTime);
        write(2);
        write(3);
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(m_versions == std::vector<std::int64_t>({ 1, 3 }));
    }

    auto changes_moreThanOneReadHolds_onlyNewestIsInForce() -> void
    {
        m_store.m_maximumRead = 1;
        m_follower->start();
        m_context->run_for(settleTime);
        write(2);
        write(3);
        write(4);
        m_context->run_for(settleTime * 5); // There is a pause after a read that does not reach the end.
        CPPUNIT_ASSERT(m_versions == std::vector<std::int64_t>({ 1, 4 }));
    }

    auto changes_olderAfterNewer_isIgnored() -> void
    {
        write(3);
        m_follower->start();
        m_context->run_for(settleTime);
        write(2);
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(m_versions == std::vector<std::int64_t>({ 3 }));
    }

    // Guards against a withdrawn key that is accepted again after a restart.
    auto restart_olderRecordOfSameKey_isNotInForce() -> void
    {
        write(2);
        m_follower->start();
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(m_versions == std::vector<std::int64_t>({ 2 }));
    }

    // Guards against an evacuation that waits for the next configuration.
    auto evacuation_written_isInForceWithTheSameVersion() -> void
    {
        begin();
        evacuate("north", "{}");
        CPPUNIT_ASSERT(m_versions == std::vector<std::int64_t>({ 1, 1 }));
        CPPUNIT_ASSERT(inForce() == Zones { "north" });
    }

    auto evacuation_valueUnreadable_isInForce() -> void
    {
        begin();
        evacuate("north", "\xff{");
        CPPUNIT_ASSERT(inForce() == Zones { "north" });
    }

    auto evacuation_deleted_isNotInForce() -> void
    {
        begin();
        evacuate("north", "{}");
        evacuate("south", "{}");
        evacuate("north", "");
        CPPUNIT_ASSERT(inForce() == Zones { "south" });
    }

    auto evacuation_beforeFirstConfiguration_isInForceWithIt() -> void
    {
        m_store.m_topics[topic].clear();
        evacuate("north", "{}");
        begin();
        CPPUNIT_ASSERT(m_zones.empty());
        write(1);
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(inForce() == Zones { "north" });
    }

    auto evacuation_newConfiguration_staysInForce() -> void
    {
        begin();
        evacuate("north", "{}");
        write(2);
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, m_versions.back());
        CPPUNIT_ASSERT(inForce() == Zones { "north" });
    }

    // Guards against a zone that stays evacuated for good because the record that restores it was never read.
    auto evacuation_deletedWhileHistoryIsLost_isNotInForce() -> void
    {
        begin();
        evacuate("north", "{}");
        evacuate("south", "{}");
        m_store.m_forgets = true;
        std::erase(m_store.m_topics[topic], encodeKeyedRecord("evacuate/north", "{}"));
        m_context->run_for(longestRead);
        write(2);
        m_context->run_for(longestRead);
        CPPUNIT_ASSERT(inForce() == Zones { "south" });
    }

    auto evacuation_historyIsLost_staysInForce() -> void
    {
        begin();
        evacuate("north", "{}");
        const auto changes = m_zones.size();
        m_store.m_forgets = true;
        m_context->run_for(longestRead);
        CPPUNIT_ASSERT(!m_store.m_forgets);
        CPPUNIT_ASSERT_EQUAL(changes, m_zones.size());
        CPPUNIT_ASSERT(m_follower->rules()->m_fleet.m_evacuatedZones == Zones { "north" });
    }

    auto evacuation_storeAway_staysInForce() -> void
    {
        begin();
        evacuate("north", "{}");
        m_store.m_isDown = true;
        m_context->run_for(settleTime);
        CPPUNIT_ASSERT(m_follower->rules()->m_fleet.m_evacuatedZones == Zones { "north" });
        m_store.m_isDown = false;
        evacuate("north", "");
        m_context->run_for(settleTime * 3);
        CPPUNIT_ASSERT(inForce().empty());
    }

    // Guards against starts in the zone by an instance that has just been restarted, or by a new owner.
    auto evacuation_restart_isInForce() -> void
    {
        evacuate("north", "{}");
        begin();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_zones.size());
        CPPUNIT_ASSERT(inForce() == Zones { "north" });
    }

private:
    auto begin() -> void
    {
        m_context->restart(); // It stops whenever it has run without work.
        m_follower->start();
        m_context->run_for(settleTime);
    }

    auto evacuate(const std::string& zone, const std::string& value) -> void
    {
        m_store.m_topics[topic].push_back(encodeKeyedRecord("evacuate/" + zone, value));
        m_context->run_for(settleTime);
    }

    auto inForce() const -> Zones { return m_zones.at(m_zones.size() - 1); }

    auto write(std::int64_t version) -> void
    {
        m_store.m_topics[topic].push_back(encodeKeyedRecord(rulesKey, std::to_string(version)));
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    ForgettingStore m_store;
    std::vector<std::int64_t> m_versions;
    std::vector<Zones> m_zones; // Evacuated zones with each of these versions.
    std::unique_ptr<RulesFollower> m_follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RulesFollowerTest);

} // namespace hemlockvane::detail
