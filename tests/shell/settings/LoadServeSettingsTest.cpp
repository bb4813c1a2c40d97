#include "hemlockvane/detail/settings/LoadServeSettings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

namespace {

const std::string hash(64, 'a');

auto wholeText() -> std::string
{
    return "instance: entry\nzone: z1\nregion: r1\ntraffic:\n  listen: 127.0.0.1:0\noperators:\n"
           "  listen: 127.0.0.1:8081\n  key_hash: \""
        + hash
        + "\"\npeers:\n  listen: tcp://127.0.0.1:7001\nlog:\n  address: 127.0.0.1:9001\ninstances:\n"
          "  address: 127.0.0.1:9002\n";
}

} // namespace

class LoadServeSettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadServeSettingsTest);
    CPPUNIT_TEST(completeFile_withoutOptionalSettings_takesBuiltInValues);
    CPPUNIT_TEST(optionalSettings_withinRange_areTaken);
    CPPUNIT_TEST(manyProblems_inOneFile_areAllNamedByLine);
    CPPUNIT_TEST(emptyFile_namesWhatIsExpected);
    CPPUNIT_TEST(missingSettings_areAllNamed);
    CPPUNIT_TEST(brokenYaml_namesItsLine);
    CPPUNIT_TEST(repeatedSetting_isRefused);
    CPPUNIT_TEST(listInPlaceOfValue_isRefused);
    CPPUNIT_TEST(beatTooSlowForVouch_isRefused);
    CPPUNIT_TEST(missingFile_isOneProblem);
    CPPUNIT_TEST_SUITE_END();

public:
    auto completeFile_withoutOptionalSettings_takesBuiltInValues() -> void
    {
        const auto settings = parseServeSettings(wholeText(), m_problems);
        CPPUNIT_ASSERT(settings && m_problems.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("z1"), settings->m_zone);
        CPPUNIT_ASSERT_EQUAL(std::string("tcp://127.0.0.1:7001"), settings->m_peersListen);
        CPPUNIT_ASSERT(settings->m_vouch == ServeSettings().m_vouch);
    }

    auto optionalSettings_withinRange_areTaken() -> void
    {
        const auto text = wholeText() + "timing:\n  vouch_ms: 900\n  beat_ms: 100\nlimits:\n  body_bytes: 2048\n"
            + "  connections: 30\n";
        const auto settings = parseServeSettings(text, m_problems);
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT(settings->m_vouch == Duration(900) && settings->m_heartbeatInterval == Duration(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2048 }, settings->m_limits.m_maximumBodyBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 30 }, settings->m_limits.m_maximumConnections);
    }

    auto manyProblems_inOneFile_areAllNamedByLine() -> void
    {
        const auto text
            = wholeText() + "colour: red\ntiming:\n  vouch_ms: soon\nlimits:\n  connections: 0\n  idle: 1\n";
        CPPUNIT_ASSERT(!parseServeSettings(text, m_problems));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, m_problems.size());
        assertProblem(0, 15, "colour");
        assertProblem(1, 17, "timing.vouch_ms");
        assertProblem(2, 19, "limits.connections");
        assertProblem(3, 20, "limits.idle");
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "f:17: timing.vouch_ms: found 'soon', expected a whole number from 100 to 60000 (milliseconds)"),
            describe(m_problems[1], "f"));
    }

    auto emptyFile_namesWhatIsExpected() -> void
    {
        CPPUNIT_ASSERT(!parseServeSettings("", m_problems));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_problems.size());
        CPPUNIT_ASSERT(m_problems[0].m_expected.find("traffic") != std::string::npos);
    }

    auto missingSettings_areAllNamed() -> void
    {
        CPPUNIT_ASSERT(!parseServeSettings("zone: z1\noperators:\n  listen: 127.0.0.1:0\n", m_problems));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, m_problems.size());
        assertProblem(0, 1, "instance");
        assertProblem(6, 2, "operators.key_hash");
    }

    auto brokenYaml_namesItsLine() -> void
    {
        CPPUNIT_ASSERT(!parseServeSettings("zone: z1\ntraffic: [1, 2\n", m_problems));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_problems.size());
        CPPUNIT_ASSERT(m_problems[0].m_line >= 2);
    }

    auto repeatedSetting_isRefused() -> void
    {
        CPPUNIT_ASSERT(!parseServeSettings(wholeText() + "zone: z2\n", m_problems));
        assertProblem(0, 15, "zone");
    }

    auto listInPlaceOfValue_isRefused() -> void
    {
        CPPUNIT_ASSERT(!parseServeSettings(wholeText() + "limits:\n  connections: [1]\n", m_problems));
        assertProblem(0, 16, "limits.connections");
    }

    auto beatTooSlowForVouch_isRefused() -> void
    {
        const auto text = wholeText() + "timing:\n  vouch_ms: 1000\n  beat_ms: 900\n";
        CPPUNIT_ASSERT(!parseServeSettings(text, m_problems));
        assertProblem(0, 17, "timing.beat_ms");
    }

    auto missingFile_isOneProblem() -> void
    {
        CPPUNIT_ASSERT(!loadServeSettings("/nonexistent/settings.yaml", m_problems));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_problems.size());
    }

private:
    auto assertProblem(std::size_t index, std::size_t line, const std::string& setting) const -> void
    {
        CPPUNIT_ASSERT(index < m_problems.size());
        CPPUNIT_ASSERT_EQUAL(line, m_problems[index].m_line);
        CPPUNIT_ASSERT_EQUAL(setting, m_problems[index].m_setting);
    }

    std::vector<SettingsProblem> m_problems;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadServeSettingsTest);

} // namespace hemlockvane::detail
