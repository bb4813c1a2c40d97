#include "shell/coordinator/OwnerFixture.h"
#include "shell/coordinator/RecordingMachines.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

namespace {

const std::string hung = "executor-1"; // Gets a start, answers nothing any more, and starts again under its id.
const std::string sound = "executor-2";
const std::string unreadable = "unreadable";

} // namespace

/// Guards against a task that waits for 12 s and the longest lease although nothing can carry out its start any more:
/// an executor never answered it, started again, and was lost for good (review/12).
class LostMachineTest : public OwnerFixture {
    CPPUNIT_TEST_SUITE(LostMachineTest);
    CPPUNIT_TEST(machine_down_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_downAndTaskLasts_startsElsewhereAtOnce);
    CPPUNIT_TEST(machine_downAfterSeveralLives_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_downAfterATakeover_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_downWithoutItsExecutorsName_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_downWithoutItsExecutorsNameAfterATakeover_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_gone_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_hasOtherExecutorAfterATakeover_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_downAndLastLifeKnownOnlyFromPoll_taskStartsElsewhereAtOnce);
    CPPUNIT_TEST(machine_up_taskWaits);
    CPPUNIT_TEST(machine_downForAMoment_taskWaits);
    CPPUNIT_TEST(machine_downWhileExecutorIsListed_taskWaits);
    CPPUNIT_TEST(machine_downWhileEntryIsUnreadable_taskWaits);
    CPPUNIT_TEST(machine_downByAListOfBefore_taskWaits);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        OwnerFixture::setUp();
        m_list = {};
        m_list.m_listed = { machine("m1", hung), machine("m2", sound) };
        m_machines = &m_list;
        m_executors.m_lives[hung].m_hangsAtStart = true;
        list(hung, "1");
    }

    auto machine_down_taskStartsElsewhereAtOnce() -> void
    {
        hangAndStartAgain();
        lose();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    auto machine_downAndTaskLasts_startsElsewhereAtOnce() -> void
    {
        m_spec.m_steps[0].m_isLongRunning = true;
        hangAndStartAgain();
        lose();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    auto machine_downAfterSeveralLives_taskStartsElsewhereAtOnce() -> void
    {
        hangAndStartAgain();
        list(hung, "3");
        settle();
        lose();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    auto machine_downAfterATakeover_taskStartsElsewhereAtOnce() -> void
    {
        hangAndStartAgain();
        takeOver();
        lose();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    // The platform names no executor of a machine that is down.
    auto machine_downWithoutItsExecutorsName_taskStartsElsewhereAtOnce() -> void
    {
        nameMachines();
        hangAndStartAgain();
        lose();
        m_list.m_listed->front().m_executorId.clear();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    auto machine_downWithoutItsExecutorsNameAfterATakeover_taskStartsElsewhereAtOnce() -> void
    {
        nameMachines();
        hangAndStartAgain();
        lose();
        m_list.m_listed->front().m_executorId.clear();
        takeOver();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    auto machine_gone_taskStartsElsewhereAtOnce() -> void
    {
        nameMachines();
        hangAndStartAgain();
        list(hung, {});
        m_list.m_listed = { machine("m2", sound) };
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    auto machine_hasOtherExecutorAfterATakeover_taskStartsElsewhereAtOnce() -> void
    {
        nameMachines();
        hangAndStartAgain();
        list(hung, {});
        m_list.m_listed->front().m_executorId = "executor-3";
        takeOver();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    // Its entry is that of the life before, and is removed after that one's last heartbeat.
    auto machine_downAndLastLifeKnownOnlyFromPoll_taskStartsElsewhereAtOnce() -> void
    {
        hangAndStartAgain();
        auto& life = m_executors.m_lives[hung];
        life.m_startedAtMs = 3;
        life.m_hangsAtPoll = true;
        life.m_isSilent = false;
        runUntil([&] { return life.m_isSilent; });
        settle();
        lose();
        CPPUNIT_ASSERT(isStartedElsewhere());
    }

    // Guards against a second run of a task on an executor that is cut off from the store and from its owner, and
    // carries out the start late.
    auto machine_up_taskWaits() -> void
    {
        nameMachines();
        hangAndStartAgain();
        list(hung, {});
        CPPUNIT_ASSERT(!isStartedElsewhere());
    }

    // Guards against a second run on an executor that is cut off and starts again under its id after its entry was
    // removed.
    auto machine_downForAMoment_taskWaits() -> void
    {
        hangAndStartAgain();
        list(hung, {});
        settle();
        m_list.m_listed->front().m_state = fleet::MachineState::Down;
        m_context->run_for(Duration(700));
        m_list.m_listed->front().m_state = fleet::MachineState::Up;
        CPPUNIT_ASSERT(!isStartedElsewhere());
    }

    // Guards against a second run on the next life of an executor that starts again within the time after which its
    // entry is removed.
    auto machine_downWhileExecutorIsListed_taskWaits() -> void
    {
        hangAndStartAgain();
        m_list.m_listed->front().m_state = fleet::MachineState::Down;
        CPPUNIT_ASSERT(!isStartedElsewhere());
    }

    // Guards against taking an entry of another writer for a removal.
    auto machine_downWhileEntryIsUnreadable_taskWaits() -> void
    {
        m_decodeExecutor = [decode = m_decodeExecutor](std::string_view id, std::string_view startedAt) {
            return startedAt == unreadable ? std::nullopt : decode(id, startedAt);
        };
        hangAndStartAgain();
        m_list.m_listed->front().m_state = fleet::MachineState::Down;
        list(hung, unreadable);
        CPPUNIT_ASSERT(!isStartedElsewhere());
    }

    // Guards against a second run on an executor that came up between the list and the removal of its entry.
    auto machine_downByAListOfBefore_taskWaits() -> void
    {
        hangAndStartAgain();
        m_list.m_listed->front().m_state = fleet::MachineState::Down;
        settle();
        settle();
        m_list.m_listed.reset();
        list(hung, {});
        CPPUNIT_ASSERT(!isStartedElsewhere());
    }

private:
    static auto machine(const std::string& id, const std::string& executor) -> fleet::Machine
    {
        return { id, "orders", fleet::MachineState::Up, "z", {}, { 8000, 16000, 0 }, executor };
    }

    // The registry names the machine of each executor.
    auto nameMachines() -> void
    {
        m_decodeExecutor = [decode = m_decodeExecutor](std::string_view id, std::string_view startedAt) {
            auto entry = decode(id, startedAt);
            entry->m_machine = id == hung ? "m1" : "m2";
            return entry;
        };
    }

    auto hangAndStartAgain() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_lives[hung].m_isSilent; });
        list(hung, "2");
        list(sound, "1");
        settle();
        CPPUNIT_ASSERT(m_executors.m_lives[sound].m_polls > 0);
        CPPUNIT_ASSERT(m_executors.m_starts.empty());
    }

    // The executor ends for good: the registry drops it, and its machine is down.
    auto lose() -> void
    {
        m_list.m_listed->front().m_state = fleet::MachineState::Down;
        list(hung, {});
    }

    auto takeOver() -> void
    {
        m_coordinator->stop();
        own(2, monotonicNow() + Duration(60000));
    }

    // After several reads of the registry and lists of machines.
    auto isStartedElsewhere() -> bool
    {
        for (int round = 0; round < 3 && m_executors.m_starts.empty(); ++round)
            settle();
        CPPUNIT_ASSERT(m_executors.m_starts.size() <= 1);
        return !m_executors.m_starts.empty() && m_executors.m_starts.front().first == sound;
    }

    RecordingMachines m_list;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostMachineTest);

} // namespace hemlockvane::detail
