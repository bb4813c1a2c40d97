// Plays a takeover in every order of its store calls, the calls of the earlier owner and lost answers. The earlier
// owner has not heard of the takeover: it reads a new submission, stores a run of it and sends the start once that is
// stored.
#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/LoadState.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/ExecutorPort.h"
#include "hemlockvane/scheduling.pb.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "shell/coordinator/MemoryStore.h"
#include "shell/coordinator/SteppedStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr scheduling::JobId job = 7;
constexpr std::uint64_t earlierEpoch = 1;
constexpr std::uint64_t newEpoch = 2;
const std::string executorTopic = "keyed.executors";
const std::string executorId = "executor-1";
constexpr int maximumRounds = 400;
constexpr Duration roundTime { 20 };

auto decodeJob(std::string_view) -> std::optional<scheduling::JobSpec>
{
    scheduling::JobSpec spec;
    spec.m_steps.resize(1);
    return spec;
}

auto executorEntry() -> scheduling::ExecutorEntry
{
    scheduling::ExecutorEntry entry;
    entry.m_id = executorId;
    entry.m_startedAtMs = 1;
    entry.m_service = "orders";
    return entry;
}

// Executors that never answer, so that a takeover knows only what is stored.
class SilentExecutors : public ExecutorPort {
public:
    auto start(std::string, std::string, StartRequest, std::function<bool()>)
        -> asio::awaitable<scheduling::StartAnswer> override
    {
        co_await sleepFor(silence);
        co_return scheduling::StartAnswer::Unknown;
    }
    auto stop(std::string, std::string, scheduling::TaskKey, std::uint32_t, std::uint64_t, std::function<bool()>)
        -> asio::awaitable<CallOutcome> override
    {
        co_await sleepFor(silence);
        co_return CallOutcome::Unknown;
    }
    auto pace(std::string, std::string, scheduling::TaskKey, std::uint32_t, std::int32_t, std::uint64_t)
        -> asio::awaitable<CallOutcome> override
    {
        co_await sleepFor(silence);
        co_return CallOutcome::Unknown;
    }
    auto poll(std::string, std::string, PollRequest) -> asio::awaitable<PollResult> override
    {
        co_await sleepFor(silence);
        co_return PollResult {};
    }

private:
    static constexpr Duration silence { 60000 };
};

// One play of a takeover. Each step is one of the choices that are open at that moment.
class TakeoverPlay {
public:
    TakeoverPlay()
        : m_stepped(m_context, m_memory)
    {
        CoordinatorPorts ports;
        ports.m_store = &m_stepped;
        ports.m_executors = &m_executors;
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [] { return Instant {}; };
        ports.m_executorTopic = executorTopic;
        ports.m_decoders.m_job = decodeJob;
        ports.m_decoders.m_executor = [](std::string_view, std::string_view) { return executorEntry(); };
        m_state = std::make_shared<CoordinatorState>(m_context, ports, newEpoch);
        const KeyedRecord executor { executorId, "listed" };
        m_memory.m_topics[executorTopic] = { encodeKeyedRecord(executor.m_key, executor.m_value) };
        m_memory.m_topics[progressTopic]
            = { encodeKeyedRecord(executorPrefix + executorId, encodeExecutor({ executorEntry(), false, false })) };
        asio::co_spawn(
            m_context, loadState(m_state), [this](const std::exception_ptr&, bool isLoaded) { m_result = isLoaded; });
    }

    ~TakeoverPlay()
    {
        m_state->m_isStopped = true;
        m_context.stop();
    }

    TakeoverPlay(const TakeoverPlay&) = delete;
    auto operator=(const TakeoverPlay&) -> TakeoverPlay& = delete;

    // Runs until a call waits or the takeover is complete.
    auto settle() -> void
    {
        runWhile([this] { return m_stepped.isBusy() || (!m_result && m_stepped.waitingCalls().empty()); });
    }

    [[nodiscard]] auto isOver() const -> bool { return m_result.has_value(); }
    [[nodiscard]] auto isLoaded() const -> bool { return m_result == true; }

    // Number of choices: each waiting call may proceed; an append may also lose its answer, once in a play; the
    // earlier owner may take its next step; a late append may be carried out.
    [[nodiscard]] auto choices() const -> std::size_t { return openChoices().size(); }

    auto choose(std::size_t number) -> void
    {
        const auto choice = openChoices().at(number);
        if (choice.m_kind == Kind::EarlierOwner)
            stepEarlierOwner();
        else if (choice.m_kind == Kind::LateAppend)
            complete(m_stepped.carryOutLateAppend());
        else
            m_stepped.proceed(choice.m_call, choice.m_fate);
        m_hasLostAnswer = m_hasLostAnswer || choice.m_fate != SteppedStore::Fate::Answered;
    }

    [[nodiscard]] auto wasStarted() const -> bool { return m_wasStarted; }

    // The run that the new owner knows; null if it would start the task as if it had never run.
    auto knownRun() -> const scheduling::TaskRun*
    {
        auto* task = scheduling::findTask(m_state->m_scheduler, { job, 0, 0, 0 });
        return task == nullptr || task->m_runs.empty() ? nullptr : &task->m_runs.front();
    }

    // Whether the submission is known now or with the next read.
    auto knowsSubmission() -> bool
    {
        return scheduling::findJob(m_state->m_scheduler, job) != nullptr
            || m_state->m_nextSubmissionOffset < m_memory.m_topics[submissionTopic].size();
    }

    [[nodiscard]] auto wasSubmitted() const -> bool { return m_earlierOwnerStep > 0; }

private:
    enum class Kind { Call, EarlierOwner, LateAppend };

    struct Choice {
        Kind m_kind;
        std::size_t m_call = 0;
        SteppedStore::Fate m_fate = SteppedStore::Fate::Answered;
    };

    [[nodiscard]] auto openChoices() const -> std::vector<Choice>
    {
        std::vector<Choice> choices;
        const auto calls = m_stepped.waitingCalls();
        for (std::size_t call = 0; call < calls.size(); ++call) {
            choices.push_back({ Kind::Call, call });
            if (calls[call].starts_with("append") && !m_hasLostAnswer) {
                choices.push_back({ Kind::Call, call, SteppedStore::Fate::AnswerLost });
                choices.push_back({ Kind::Call, call, SteppedStore::Fate::CarriedOutLate });
            }
            // The registry of executors does not change: its read needs no other place in the order.
            if (calls[call] == "newest " + executorTopic)
                return { choices.back() };
        }
        if (m_earlierOwnerStep < earlierOwnerSteps)
            choices.push_back({ Kind::EarlierOwner });
        if (m_stepped.hasLateAppend())
            choices.push_back({ Kind::LateAppend });
        return choices;
    }

    auto stepEarlierOwner() -> void
    {
        StoreAppend request;
        if (m_earlierOwnerStep++ == 0) {
            request.m_topic = submissionTopic;
            wire::SubmissionRecord record;
            record.set_queue("orders");
            request.m_records = { encodeKeyedRecord(submissionPrefix + jobIdText(job), record.SerializeAsString()) };
            complete(append(std::move(request), nullptr));
            return;
        }
        scheduling::JobProgress progress;
        progress.m_phase = scheduling::JobPhase::Running;
        scheduling::TaskProgress task;
        task.m_highestRun = 1;
        progress.m_tasks.push_back(task);
        progress.m_runs.push_back({ { job, 0, 0, 0 }, 1, executorId });
        request.m_topic = progressTopic;
        request.m_producer = "owner";
        request.m_epoch = earlierEpoch;
        request.m_records = { encodeKeyedRecord(progressPrefix + jobIdText(job), encodeProgress(progress)) };
        complete(append(std::move(request), &m_wasStarted));
    }

    auto append(StoreAppend request, bool* wasStored) -> asio::awaitable<void>
    {
        const auto result = co_await m_memory.append(std::move(request), Duration { 0 });
        if (wasStored != nullptr)
            *wasStored = result.m_kind == StoreAppendKind::Stored;
    }

    auto complete(asio::awaitable<void> call) -> void
    {
        auto isDone = false;
        asio::co_spawn(m_context, std::move(call), [&](const std::exception_ptr&) { isDone = true; });
        runWhile([&] { return !isDone; });
    }

    template <typename Condition> auto runWhile(Condition condition) -> void
    {
        for (int round = 0; round < maximumRounds && condition(); ++round)
            m_context.run_one_for(roundTime);
    }

    static constexpr int earlierOwnerSteps = 2;
    asio::io_context m_context;
    MemoryStore m_memory;
    SteppedStore m_stepped;
    SilentExecutors m_executors;
    Metrics m_metrics;
    std::shared_ptr<CoordinatorState> m_state;
    std::optional<bool> m_result;
    int m_earlierOwnerStep = 0;
    bool m_wasStarted = false;
    bool m_hasLostAnswer = false;
};

} // namespace

class TakeoverOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverOrderTest);
    CPPUNIT_TEST(takeover_anyOrderOfCalls_knowsEveryStoredRun);
    CPPUNIT_TEST_SUITE_END();

public:
    auto takeover_anyOrderOfCalls_knowsEveryStoredRun() -> void
    {
        std::vector<std::size_t> order;
        std::size_t plays = 0;
        do {
            playOnce(order);
            ++plays;
        } while (advance(order));
        CPPUNIT_ASSERT(plays > 100); // Fewer would mean that orders are left out.
    }

private:
    // Plays one order, which is extended by the first choice wherever it leaves a choice open.
    auto playOnce(std::vector<std::size_t>& order) -> void
    {
        TakeoverPlay play;
        m_widths.clear();
        for (play.settle(); !play.isOver(); play.settle()) {
            const auto position = m_widths.size();
            m_widths.push_back(play.choices());
            if (position == order.size())
                order.push_back(0);
            play.choose(order[position]);
        }
        const auto text = describe(order);
        CPPUNIT_ASSERT_MESSAGE(text, play.isLoaded());
        CPPUNIT_ASSERT_MESSAGE(text, !play.wasSubmitted() || play.knowsSubmission());
        CPPUNIT_ASSERT_MESSAGE(text, !play.wasStarted() || play.knownRun() != nullptr);
    }

    // Changes an order to the next one that has not been played.
    auto advance(std::vector<std::size_t>& order) -> bool
    {
        order.resize(m_widths.size());
        while (!order.empty() && order.back() + 1 == m_widths[order.size() - 1])
            order.pop_back();
        if (order.empty())
            return false;
        ++order.back();
        return true;
    }

    static auto describe(const std::vector<std::size_t>& order) -> std::string
    {
        std::string text = "choices";
        for (const auto choice : order)
            text += " " + std::to_string(choice);
        return text;
    }

    std::vector<std::size_t> m_widths; // Number of choices at each position of the order played last.
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverOrderTest);

} // namespace hemlockvane::detail
