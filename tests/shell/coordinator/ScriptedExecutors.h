#pragma once

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/ports/ExecutorPort.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

/// @brief Executors that run what they are told to and answer with a life that the test chooses; they record starts.
class ScriptedExecutors : public ExecutorPort {
public:
    /// @brief What one executor is at present.
    struct Life {
        std::int64_t m_startedAtMs = 1;
        bool m_isSilent = false; ///< Calls get no answer and have no effect.
        bool m_hangsAtStart = false; ///< Becomes silent when it gets a start, which has no effect.
        bool m_hangsAtPoll = false; ///< Becomes silent after the answer to the next poll.
        bool m_hasNewerOwner = false; ///< Polls are refused, since a newer owner has called.
        std::vector<scheduling::ReportedRun> m_runs;
        std::vector<scheduling::EndedRun> m_ends; ///< Ends that are listed until they are acknowledged.
        bool m_waitsForEnds = false; ///< An answer without ends takes as long as the poll allows.
        std::size_t m_endsPerAnswer = 500; ///< Further ends are listed once these are acknowledged.
        std::vector<PollRequest> m_received; ///< Polls answered.
        int m_polls = 0; ///< Number of polls answered.
    };

    auto start(std::string, std::string id, StartRequest order, std::function<bool()> mayBeSent)
        -> boost::asio::awaitable<scheduling::StartAnswer> override
    {
        if (!mayBeSent())
            co_return scheduling::StartAnswer::NotSent;
        auto& life = m_lives[id];
        life.m_isSilent = life.m_isSilent || life.m_hangsAtStart;
        if (life.m_isSilent)
            co_return scheduling::StartAnswer::Unknown;
        life.m_runs.push_back({ order.m_task, order.m_run, {}, 100, 0 });
        m_starts.emplace_back(id, std::move(order));
        co_return scheduling::StartAnswer::Started;
    }

    auto stop(std::string, std::string, scheduling::TaskKey, std::uint32_t, std::uint64_t, std::function<bool()>)
        -> boost::asio::awaitable<CallOutcome> override
    {
        co_return CallOutcome::Answered;
    }

    auto pace(std::string, std::string, scheduling::TaskKey, std::uint32_t, std::int32_t, std::uint64_t)
        -> boost::asio::awaitable<CallOutcome> override
    {
        co_return CallOutcome::Answered;
    }

    auto poll(std::string, std::string id, PollRequest order) -> boost::asio::awaitable<PollResult> override
    {
        auto& life = m_lives[id];
        PollResult result;
        if (life.m_isSilent)
            co_return result;
        ++life.m_polls;
        life.m_isSilent = life.m_hangsAtPoll;
        life.m_received.push_back(order);
        if (life.m_hasNewerOwner) {
            result.m_outcome = CallOutcome::StaleFence;
            co_return result;
        }
        if (life.m_waitsForEnds && life.m_ends.empty())
            co_await sleepFor(order.m_wait);
        result.m_outcome = CallOutcome::Answered;
        result.m_report.m_clockMs = monotonicNow().time_since_epoch().count();
        result.m_report.m_startedAtMs = life.m_startedAtMs;
        result.m_report.m_runs = life.m_runs;
        std::erase_if(
            life.m_ends, [&](const scheduling::EndedRun& end) { return end.m_number <= order.m_acknowledgedEnd; });
        const auto listed = std::min(life.m_ends.size(), life.m_endsPerAnswer);
        result.m_report.m_endedRuns.assign(
            life.m_ends.begin(), life.m_ends.begin() + static_cast<std::ptrdiff_t>(listed));
        result.m_report.m_isComplete = listed < life.m_endsPerAnswer;
        co_return result;
    }

    std::map<std::string, Life> m_lives; ///< By executor id.
    std::vector<std::pair<std::string, StartRequest>> m_starts; ///< Starts carried out, with the executor id.
};

} // namespace hemlockvane::detail
