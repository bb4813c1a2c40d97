#include "hemlockvane/interference/MeasureInterference.h"

#include "hemlockvane/interference/InterferenceState.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

namespace hemlockvane::interference {

/// Four executors run the image "web", two of them with "batch" beside it; each is sampled twice a second.
class MeasureInterferenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MeasureInterferenceTest);
    CPPUNIT_TEST(pair_disturbs_isKnownWithinThreeSeconds);
    CPPUNIT_TEST(pair_doesNotDisturb_isNotFound);
    CPPUNIT_TEST(pair_alwaysTogether_hasNoVerdict);
    CPPUNIT_TEST(pair_stopsDisturbing_isForgotten);
    CPPUNIT_TEST(pair_noEvidenceAnyMore_isForgotten);
    CPPUNIT_TEST(pair_ofWhichOneDisturbs_isKnownInOneDirection);
    CPPUNIT_TEST(third_innocentImageBeside_isNotBlamed);
    CPPUNIT_TEST(pairs_moreThanAreKept_areBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_state = {};
        m_now = Instant(Duration(1000000));
        m_random.seed(17);
    }

    auto pair_disturbs_isKnownWithinThreeSeconds() -> void
    {
        play(3, 0.4);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, knownHarm(m_state, "web", "batch"), 0.15);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, knownHarm(m_state, "batch", "web"), 0.15);
    }

    // Guards against tasks that are kept apart because of chance: of a hundred plays, at most one names the pair.
    auto pair_doesNotDisturb_isNotFound() -> void
    {
        int found = 0;
        for (unsigned seed = 1; seed <= 100; ++seed) {
            m_state = {};
            m_random.seed(seed);
            play(10, 0);
            found += knownHarm(m_state, "web", "batch") > 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(found), found <= 1);
    }

    auto pair_alwaysTogether_hasNoVerdict() -> void
    {
        for (int i = 0; i < 40; ++i)
            sample("web", 0.9, { "batch" });
        CPPUNIT_ASSERT(judge(m_state, m_now).empty());
    }

    // Guards against images that are kept apart although they do not disturb each other any more.
    auto pair_stopsDisturbing_isForgotten() -> void
    {
        play(5, 0.4);
        CPPUNIT_ASSERT(knownHarm(m_state, "web", "batch") > 0);
        play(20, 0);
        CPPUNIT_ASSERT_EQUAL(0.0, knownHarm(m_state, "web", "batch"));
    }

    auto pair_noEvidenceAnyMore_isForgotten() -> void
    {
        play(5, 0.4);
        m_now += Duration(60000);
        const auto changes = judge(m_state, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, changes.size());
        CPPUNIT_ASSERT_EQUAL(0.0, changes.front().m_verdict.m_ratio);
        CPPUNIT_ASSERT(m_state.m_beside.empty());
    }

    auto pair_ofWhichOneDisturbs_isKnownInOneDirection() -> void
    {
        for (int i = 0; i < 30; ++i) {
            sample("web", 0.5 + noise(), {});
            sample("web", 0.9 + noise(), { "batch" });
            sample("batch", 1.0 + noise(), {});
            sample("batch", 1.0 + noise(), { "web" });
        }
        judge(m_state, m_now);
        CPPUNIT_ASSERT(m_state.m_verdicts.contains({ "web", "batch" }));
        CPPUNIT_ASSERT(!m_state.m_verdicts.contains({ "batch", "web" }));
    }

    // An image that is beside the affected one as often with the disturbing one as without it has no part in it.
    auto third_innocentImageBeside_isNotBlamed() -> void
    {
        for (int i = 0; i < 30; ++i) {
            sample("web", 0.5 + noise(), {});
            sample("web", 0.5 + noise(), { "other" });
            sample("web", 0.9 + noise(), { "batch" });
            sample("web", 0.9 + noise(), { "batch", "other" });
        }
        judge(m_state, m_now);
        CPPUNIT_ASSERT(m_state.m_verdicts.contains({ "web", "batch" }));
        CPPUNIT_ASSERT(!m_state.m_verdicts.contains({ "web", "other" }));
    }

    // Guards against memory that grows with the names that callers make up.
    auto pairs_moreThanAreKept_areBounded() -> void
    {
        for (int i = 0; i < 2000; ++i)
            sample("web", 0.5, { "image-" + std::to_string(i), "other-" + std::to_string(i) });
        judge(m_state, m_now);
        CPPUNIT_ASSERT(m_state.m_beside.size() <= 256);
    }

private:
    auto noise() -> double { return std::normal_distribution<double>(0, 0.1)(m_random); }

    auto sample(const std::string& image, double ratio, const std::vector<std::string>& others) -> void
    {
        observe(m_state, image, ratio, others, m_now);
    }

    auto play(int seconds, double increase) -> void
    {
        for (int step = 0; step < seconds * 2; ++step) {
            m_now += Duration(500);
            for (int executor = 0; executor < 4; ++executor) {
                const auto isBeside = executor < 2;
                sample("web", 0.5 + noise() + (isBeside ? increase : 0),
                    isBeside ? std::vector<std::string> { "batch" } : std::vector<std::string> {});
            }
            if (step % 2 == 1)
                judge(m_state, m_now);
        }
    }

    InterferenceState m_state;
    Instant m_now;
    std::mt19937 m_random;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeasureInterferenceTest);

} // namespace hemlockvane::interference
