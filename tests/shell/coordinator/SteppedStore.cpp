#include "shell/coordinator/SteppedStore.h"

#include "hemlockvane/detail/async/Signal.h"

#include <algorithm>
#include <iterator>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration longestStep { 60000 }; // Longer than any test.

} // namespace

struct SteppedStore::Call {
    Call(asio::io_context& context, std::string name)
        : m_name(std::move(name))
        , m_signal(context)
    {
    }

    std::string m_name;
    Signal m_signal;
    Fate m_fate = Fate::Answered;
    bool m_mayProceed = false;
};

SteppedStore::SteppedStore(asio::io_context& context, RecordStore& store)
    : m_context(context)
    , m_store(store)
{
}

SteppedStore::~SteppedStore() = default;

auto SteppedStore::waitForTurn(std::string name) -> asio::awaitable<Fate>
{
    const auto call = m_calls.emplace(m_calls.end(), m_context, std::move(name));
    while (!call->m_mayProceed)
        co_await call->m_signal.wait(longestStep);
    const auto fate = call->m_fate;
    m_calls.erase(call);
    co_return fate;
}

auto SteppedStore::append(StoreAppend request, Duration timeout) -> asio::awaitable<StoreAppendResult>
{
    auto name = "append " + request.m_topic;
    const auto fate = co_await waitForTurn(std::move(name));
    if (fate == Fate::CarriedOutLate) {
        m_lateAppends.push_back(std::move(request));
        co_return StoreAppendResult {};
    }
    ++m_callsInProgress;
    const auto result = co_await m_store.append(std::move(request), timeout);
    --m_callsInProgress;
    co_return fate == Fate::Answered ? result : StoreAppendResult {};
}

auto SteppedStore::read(std::string topic, std::uint64_t from, Duration wait)
    -> asio::awaitable<std::optional<StoreRead>>
{
    auto name = "read " + topic;
    co_await waitForTurn(std::move(name));
    ++m_callsInProgress;
    auto result = co_await m_store.read(std::move(topic), from, wait);
    --m_callsInProgress;
    co_return result;
}

auto SteppedStore::newest(std::string topic) -> asio::awaitable<std::optional<TopicContent>>
{
    auto name = "newest " + topic;
    co_await waitForTurn(std::move(name));
    ++m_callsInProgress;
    auto result = co_await m_store.newest(std::move(topic));
    --m_callsInProgress;
    co_return result;
}

auto SteppedStore::waitingCalls() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    std::transform(
        m_calls.begin(), m_calls.end(), std::back_inserter(names), [](const auto& call) { return call.m_name; });
    return names;
}

auto SteppedStore::isBusy() const -> bool
{
    return m_callsInProgress > 0
        || std::any_of(m_calls.begin(), m_calls.end(), [](const auto& call) { return call.m_mayProceed; });
}

auto SteppedStore::proceed(std::size_t call, Fate fate) -> void
{
    auto& chosen = *std::next(m_calls.begin(), static_cast<std::ptrdiff_t>(call));
    chosen.m_fate = fate;
    chosen.m_mayProceed = true;
    chosen.m_signal.notify();
}

auto SteppedStore::hasLateAppend() const -> bool { return !m_lateAppends.empty(); }

auto SteppedStore::carryOutLateAppend() -> asio::awaitable<void>
{
    auto request = std::move(m_lateAppends.back());
    m_lateAppends.pop_back();
    co_await m_store.append(std::move(request), Duration { 0 });
}

} // namespace hemlockvane::detail
