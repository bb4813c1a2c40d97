#include "hemlockvane/detail/intake/AdmitJob.h"

#include "hemlockvane/detail/coordinator/JobMemoryView.h"
#include "hemlockvane/detail/intake/JobAdmission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockvane::detail {

/// Callers whose jobs, in their sum, need more memory than the owner has. Guards against owners that end one after the
/// other as they load these jobs.
class AdmitJobTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmitJobTest);
    CPPUNIT_TEST(jobs_ownerHasMemory_areAdmitted);
    CPPUNIT_TEST(jobs_ofOneCaller_leaveHalfForOthers);
    CPPUNIT_TEST(job_ofOtherWorkspace_isAdmittedBesideGreedyOne);
    CPPUNIT_TEST(jobs_ofManyInstances_stayWithinLimit);
    CPPUNIT_TEST(job_largerThanInstancesPart_isAdmittedAlone);
    CPPUNIT_TEST(job_largerThanWhatIsLeft_isRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override { m_left = { limit, {} }; }

    // Within one renewal interval, far above what an instance gets on the largest deployment.
    auto jobs_ownerHasMemory_areAdmitted() -> void
    {
        JobAdmission admission;
        for (int job = 0; job < 1000; ++job)
            CPPUNIT_ASSERT(admitJob(admission, m_left, 1, "team-" + std::to_string(job % 20), ordinary));
    }

    auto jobs_ofOneCaller_leaveHalfForOthers() -> void
    {
        JobAdmission admission;
        flood(admission, "greedy", ordinary);
        CPPUNIT_ASSERT(m_left.m_byWorkspace["greedy"] <= limit / 2);
        CPPUNIT_ASSERT(m_left.m_byWorkspace["greedy"] >= limit / 3);
    }

    auto job_ofOtherWorkspace_isAdmittedBesideGreedyOne() -> void
    {
        JobAdmission admission;
        const auto renewal = flood(admission, "greedy", ordinary);
        CPPUNIT_ASSERT(!admitJob(admission, m_left, renewal + 1, "greedy", ordinary));
        for (int job = 0; job < 100; ++job)
            CPPUNIT_ASSERT(admitJob(admission, m_left, renewal + 1, "team", ordinary));
    }

    // Within one renewal interval each instance may take its part of what is left, or one job.
    auto jobs_ofManyInstances_stayWithinLimit() -> void
    {
        constexpr std::size_t instances = 9;
        JobAdmission admissions[instances];
        std::size_t most = 0;
        std::size_t used = 0;
        for (std::uint64_t renewal = 1; renewal < 2000; ++renewal) {
            const auto before = m_left;
            for (auto& admission : admissions) {
                while (admitJob(admission, before, renewal, "greedy", large))
                    count("greedy", large);
            }
            used = m_left.m_byWorkspace["greedy"];
            most = std::max(most, used);
        }
        CPPUNIT_ASSERT(most <= limit / 2 + instances * std::max(large, limit / 64));
        CPPUNIT_ASSERT(most < limit);
    }

    auto job_largerThanInstancesPart_isAdmittedAlone() -> void
    {
        JobAdmission admission;
        CPPUNIT_ASSERT(admitJob(admission, m_left, 1, "team", limit / 10));
        CPPUNIT_ASSERT(!admitJob(admission, m_left, 1, "team", limit / 10));
        CPPUNIT_ASSERT(admitJob(admission, m_left, 2, "team", limit / 10));
    }

    auto job_largerThanWhatIsLeft_isRefused() -> void
    {
        JobAdmission admission;
        m_left.m_left = ordinary - 1;
        CPPUNIT_ASSERT(!admitJob(admission, m_left, 1, "team", ordinary));
    }

private:
    static constexpr std::size_t limit = 96UL * 1024 * 1024;
    static constexpr std::size_t ordinary = 1500; // A job of two steps.
    static constexpr std::size_t large = 400000; // A job of 1,000 steps.

    auto count(const std::string& workspace, std::size_t bytes) -> void
    {
        m_left.m_left -= std::min(m_left.m_left, bytes);
        m_left.m_byWorkspace[workspace] += bytes;
    }

    // Hands in jobs until none is admitted any more; returns the last renewal.
    auto flood(JobAdmission& admission, const std::string& workspace, std::size_t bytes) -> std::uint64_t
    {
        std::uint64_t renewal = 0;
        for (auto isAdmitted = true; isAdmitted;) {
            ++renewal;
            const auto before = m_left;
            isAdmitted = false;
            while (admitJob(admission, before, renewal, workspace, bytes)) {
                count(workspace, bytes);
                isAdmitted = true;
            }
        }
        return renewal;
    }

    JobMemoryView m_left;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmitJobTest);

} // namespace hemlockvane::detail
