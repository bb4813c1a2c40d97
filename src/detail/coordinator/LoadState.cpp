#include "hemlockvane/detail/coordinator/LoadState.h"

#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/ExecutorPolling.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/detail/ports/TopicContent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration readRetry { 100 }; // After a read that the store did not answer.
// Interval at which a waiting reader checks whether the ownership has ended.
constexpr Duration stateCheckInterval { 1000 };

struct TopicRead {
    TopicRead(asio::io_context& context, std::string topic)
        : m_topic(std::move(topic))
        , m_done(context)
    {
    }

    std::string m_topic;
    std::optional<TopicContent> m_content;
    Signal m_done;
};

using SharedState = std::shared_ptr<CoordinatorState>;
using SharedRead = std::shared_ptr<TopicRead>;

auto readTopic(SharedState state, SharedRead read) -> asio::awaitable<void>
{
    while (!state->m_isStopped && !read->m_content) {
        read->m_content = co_await state->m_ports.m_store->newest(read->m_topic);
        if (!read->m_content)
            co_await sleepFor(readRetry);
    }
    read->m_done.notify();
}

auto beginRead(const SharedState& state, const std::string& topic) -> SharedRead
{
    auto read = std::make_shared<TopicRead>(state->m_context, topic);
    asio::co_spawn(state->m_context, readTopic(state, read), asio::detached);
    return read;
}

auto awaitRead(SharedState state, SharedRead read) -> asio::awaitable<bool>
{
    while (!state->m_isStopped && !read->m_content)
        co_await read->m_done.wait(stateCheckInterval);
    co_return !state->m_isStopped;
}

} // namespace

auto loadState(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<bool>
{
    const auto earlySubmissions = beginRead(state, submissionTopic);
    const auto executors = beginRead(state, state->m_ports.m_executorTopic);
    const auto isFenced = co_await fenceJournal(*state);
    if (!isFenced)
        co_return false;
    // Only after fencing: until then an earlier owner may append.
    const auto journal = beginRead(state, progressTopic);
    const auto areSubmissionsRead = co_await awaitRead(state, earlySubmissions);
    if (!areSubmissionsRead)
        co_return false;
    loadSubmissions(*state, std::move(*earlySubmissions->m_content));
    // Until it was fenced, an earlier owner may have started jobs that were submitted after the read above. Their runs
    // are in the journal; a run is restored only if its job is known.
    const auto areNewSubmissionsRead = co_await readSubmissionsToEnd(*state);
    if (!areNewSubmissionsRead)
        co_return false;
    for (const auto& read : { executors, journal }) {
        const auto isRead = co_await awaitRead(state, read);
        if (!isRead)
            co_return false;
    }
    restoreJournal(*state, *journal->m_content);
    loadExecutors(state, *executors->m_content);
    co_return true;
}

} // namespace hemlockvane::detail
