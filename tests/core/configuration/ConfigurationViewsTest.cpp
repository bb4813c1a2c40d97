#include "core/fleet/FleetFixture.h"

#include "hemlockvane/configuration.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class ConfigurationViewsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationViewsTest);
    CPPUNIT_TEST(settings_everyName_isFoundAndInOrder);
    CPPUNIT_TEST(effectiveSettings_exceptionAndDefault_showTheirSources);
    CPPUNIT_TEST(effectiveSettings_expiredException_isLeftOut);
    CPPUNIT_TEST(configurationHistory_newestFirst_isPaged);
    CPPUNIT_TEST(expiringExceptions_justExpiredAndSoon_areListedByExpiry);
    CPPUNIT_TEST(previewChange_newDefault_listsEffectiveChangesWithoutApplying);
    CPPUNIT_TEST(previewChange_budgetBelowDrains_reportsOverBudget);
    CPPUNIT_TEST(setException_withoutAuthorOrExpired_isRefused);
    CPPUNIT_TEST(setDefault_racingOperators_secondGetsConflictNamingFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    auto settings_everyName_isFoundAndInOrder() -> void
    {
        std::string_view previous;
        for (const auto& spec : settingSpecs()) {
            CPPUNIT_ASSERT(previous < spec.m_name);
            CPPUNIT_ASSERT(findSetting(spec.m_name) == &spec);
            previous = spec.m_name;
        }
        CPPUNIT_ASSERT(findSetting("team.limits") == nullptr);
    }

    auto effectiveSettings_exceptionAndDefault_showTheirSources() -> void
    {
        m_fleet.setDefault("team.limit", 50);
        m_fleet.setException("team.limit", "orders", 80);
        const auto settings = effectiveSettings(m_fleet.m_state.m_configuration, "team.limit", m_fleet.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings.size());
        CPPUNIT_ASSERT(settings[0].m_value.m_source == ValueSource::Default);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(80), settings[1].m_value.m_value);
        CPPUNIT_ASSERT_EQUAL(std::string("test"), settings[1].m_value.m_item->m_reason);
    }

    auto effectiveSettings_expiredException_isLeftOut() -> void
    {
        setExpiring("orders", m_fleet.m_now + 1000);
        const auto settings = effectiveSettings(m_fleet.m_state.m_configuration, "team.limit", m_fleet.m_now + 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.size());
    }

    auto configurationHistory_newestFirst_isPaged() -> void
    {
        for (auto i = 1; i <= 3; ++i)
            m_fleet.setDefault("wave.width", i);
        const auto newest = configurationHistory(m_fleet.m_state.m_configuration, 0, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("default wave.width = 3"), newest.at(0).m_summary);
        const auto older = configurationHistory(m_fleet.m_state.m_configuration, newest[0].m_version, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), older.size());
        CPPUNIT_ASSERT_EQUAL(std::string("default wave.width = 2"), older[0].m_summary);
    }

    auto expiringExceptions_justExpiredAndSoon_areListedByExpiry() -> void
    {
        setExpiring("late", m_fleet.m_now + 9000);
        setExpiring("soon", m_fleet.m_now + 1000);
        setExpiring("far", m_fleet.m_now + 1'000'000);
        const auto exceptions = expiringExceptions(m_fleet.m_state.m_configuration, m_fleet.m_now + 5000, 5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), exceptions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("soon"), exceptions[0].m_scope);
        CPPUNIT_ASSERT_EQUAL(std::string("late"), exceptions[1].m_scope);
    }

    auto previewChange_newDefault_listsEffectiveChangesWithoutApplying() -> void
    {
        m_fleet.setException("team.limit", "orders", 80);
        wire::Operation operation;
        operation.mutable_set_default()->set_setting("team.limit");
        operation.mutable_set_default()->set_value("40");
        operation.mutable_set_default()->set_expected_version(m_fleet.m_state.m_configuration.m_version);
        const auto preview = previewChange(m_fleet.m_state, operation, m_fleet.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), preview.m_changes.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), preview.m_changes[0].m_before);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), preview.m_changes[0].m_after);
        CPPUNIT_ASSERT(m_fleet.m_state.m_configuration.m_defaults.empty());
    }

    auto previewChange_budgetBelowDrains_reportsOverBudget() -> void
    {
        m_fleet.addInstance("w0", "orders", "a", "a0");
        m_fleet.startWave("wave");
        m_fleet.beginDrain("wave", "w0");
        wire::Operation operation;
        operation.mutable_set_default()->set_setting("pool.budget");
        operation.mutable_set_default()->set_value("0");
        const auto preview = previewChange(m_fleet.m_state, operation, m_fleet.m_now);
        CPPUNIT_ASSERT(preview.m_error == ErrorKind::OverBudget);
        CPPUNIT_ASSERT(preview.m_reason.find("orders") != std::string::npos);
    }

    auto setException_withoutAuthorOrExpired_isRefused() -> void
    {
        CPPUNIT_ASSERT(setExpiring("orders", m_fleet.m_now).m_error == ErrorKind::BadRequest);
        auto operation = exceptionFor("orders", 0);
        operation.mutable_set_exception()->clear_author();
        CPPUNIT_ASSERT(m_fleet.fold(operation).m_error == ErrorKind::BadRequest);
    }

    auto setDefault_racingOperators_secondGetsConflictNamingFirst() -> void
    {
        wire::Operation operation;
        operation.mutable_set_default()->set_setting("wave.width");
        operation.mutable_set_default()->set_value("8");
        operation.mutable_set_default()->set_author("ana");
        const auto first = m_fleet.fold(operation);
        operation.mutable_set_default()->set_author("ben");
        const auto second = m_fleet.fold(operation);
        CPPUNIT_ASSERT(second.m_error == ErrorKind::Conflict);
        CPPUNIT_ASSERT(second.m_reason.find("ana in version " + std::to_string(first.m_offset)) != std::string::npos);
    }

private:
    static auto exceptionFor(const std::string& scope, WallMillis expiresAt) -> wire::Operation
    {
        wire::Operation operation;
        auto& set = *operation.mutable_set_exception();
        set.set_setting("team.limit");
        set.set_scope(scope);
        set.set_value("5");
        set.set_reason("stock count");
        set.set_author("ana");
        set.set_expires_at_ms(expiresAt);
        return operation;
    }

    auto setExpiring(const std::string& scope, WallMillis expiresAt) -> OperationResult
    {
        return m_fleet.fold(exceptionFor(scope, expiresAt));
    }

    FleetFixture m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationViewsTest);

} // namespace hemlockvane
