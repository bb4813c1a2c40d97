#include "core/fleet/FleetFixture.h"

#include "hemlockvane/jobs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class ApplyJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ApplyJobsTest);
    CPPUNIT_TEST(submit_sameJobTwice_isDuplicate);
    CPPUNIT_TEST(submit_otherJobUnderSameId_isConflict);
    CPPUNIT_TEST(place_fenceOfAnotherDuty_isRefused);
    CPPUNIT_TEST(place_failedWorker_isRefused);
    CPPUNIT_TEST(endAttempt_stoppedForOthers_consumesNoAttempt);
    CPPUNIT_TEST(endAttempt_stoppedNonRepeatable_isParked);
    CPPUNIT_TEST(endAttempt_checkpointedNonRepeatable_isQueuedAgain);
    CPPUNIT_TEST(endAttempt_lostNonRepeatable_isParked);
    CPPUNIT_TEST(endAttempt_staleAttemptOfWaitingJob_doesNotPark);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override { m_fleet.addInstance("w1", "batch", "a", "a1"); }

    auto submit_sameJobTwice_isDuplicate() -> void
    {
        m_fleet.submit("j", "t", 4);
        CPPUNIT_ASSERT(m_fleet.submit("j", "t", 4).m_error == ErrorKind::Duplicate);
    }

    auto submit_otherJobUnderSameId_isConflict() -> void
    {
        m_fleet.submit("j", "t", 4);
        CPPUNIT_ASSERT(m_fleet.submit("j", "t", 8).m_error == ErrorKind::Conflict);
        CPPUNIT_ASSERT(m_fleet.submit("j", "u", 4).m_error == ErrorKind::Conflict);
    }

    auto place_fenceOfAnotherDuty_isRefused() -> void
    {
        m_fleet.submit("j", "t", 4);
        wire::Operation operation;
        operation.mutable_place_job()->mutable_fence()->set_duty("maintenance");
        operation.mutable_place_job()->mutable_fence()->set_epoch(m_fleet.m_maintenanceEpoch);
        operation.mutable_place_job()->set_job("j");
        operation.mutable_place_job()->set_worker("w1");
        operation.mutable_place_job()->set_attempt(1);
        CPPUNIT_ASSERT(m_fleet.fold(operation).m_error == ErrorKind::StaleEpoch);
    }

    auto place_failedWorker_isRefused() -> void
    {
        m_fleet.submit("j", "t", 4);
        m_fleet.mark("w1", false);
        CPPUNIT_ASSERT(m_fleet.place("j", "w1").m_error == ErrorKind::Draining);
    }

    auto endAttempt_stoppedForOthers_consumesNoAttempt() -> void
    {
        m_fleet.submit("j", "t", 4);
        for (auto i = 0; i < 5; ++i) {
            m_fleet.place("j", "w1");
            m_fleet.end("j", wire::JOB_STOPPED);
        }
        m_fleet.place("j", "w1");
        m_fleet.end("j", wire::JOB_FAILED);
        CPPUNIT_ASSERT(m_fleet.job("j").m_status == JobStatus::Queued);
    }

    auto endAttempt_stoppedNonRepeatable_isParked() -> void
    {
        m_fleet.submit("j", "t", 4, false);
        m_fleet.place("j", "w1");
        m_fleet.end("j", wire::JOB_STOPPED);
        CPPUNIT_ASSERT(m_fleet.job("j").m_status == JobStatus::Parked);
    }

    auto endAttempt_checkpointedNonRepeatable_isQueuedAgain() -> void
    {
        m_fleet.submit("j", "t", 4, false);
        m_fleet.place("j", "w1");
        m_fleet.end("j", wire::JOB_CHECKPOINTED);
        CPPUNIT_ASSERT(m_fleet.job("j").m_status == JobStatus::Queued);
    }

    auto endAttempt_lostNonRepeatable_isParked() -> void
    {
        m_fleet.submit("j", "t", 4, false);
        m_fleet.place("j", "w1");
        m_fleet.end("j", wire::JOB_LOST);
        CPPUNIT_ASSERT(m_fleet.job("j").m_status == JobStatus::Parked);
    }

    auto endAttempt_staleAttemptOfWaitingJob_doesNotPark() -> void
    {
        m_fleet.submit("j", "t", 4);
        m_fleet.place("j", "w1");
        m_fleet.end("j", wire::JOB_REFUSED);
        m_fleet.place("j", "w1");
        wire::Operation operation;
        operation.mutable_end_attempt()->mutable_fence()->set_duty("placement");
        operation.mutable_end_attempt()->mutable_fence()->set_epoch(m_fleet.m_placementEpoch);
        operation.mutable_end_attempt()->set_job("j");
        operation.mutable_end_attempt()->set_attempt(1);
        operation.mutable_end_attempt()->set_parked(true);
        CPPUNIT_ASSERT(m_fleet.fold(operation).m_error == ErrorKind::Conflict);
        CPPUNIT_ASSERT(m_fleet.job("j").m_status == JobStatus::Running);
    }

private:
    FleetFixture m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyJobsTest);

} // namespace hemlockvane
