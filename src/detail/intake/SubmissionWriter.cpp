#include "hemlockvane/detail/intake/SubmissionWriter.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/intake/SubmissionQueue.h"
#include "hemlockvane/detail/ports/RecordStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration appendTimeout { 700 }; // A slow store answers within 0.5 s.
constexpr Duration retryPause { 60 }; // After an append without an answer.

} // namespace

struct SubmissionWriter::Impl : std::enable_shared_from_this<SubmissionWriter::Impl> {
    Impl(asio::io_context& context, RecordStore& store)
        : m_context(context)
        , m_store(store)
    {
    }

    auto appendWaiting() -> void;
    auto append(std::vector<SharedSubmission> batch) -> asio::awaitable<void>;
    auto appendLater() -> asio::awaitable<void>;

    asio::io_context& m_context;
    RecordStore& m_store;
    SubmissionQueue m_queue;
};

auto SubmissionWriter::Impl::appendWaiting() -> void
{
    auto batch = takeBatch(m_queue);
    if (!batch.empty())
        asio::co_spawn(m_context, append(std::move(batch)), asio::detached);
}

auto SubmissionWriter::Impl::append(std::vector<SharedSubmission> batch) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    StoreAppend request;
    request.m_topic = submissionTopic;
    for (const auto& submission : batch)
        request.m_records.push_back(submission->m_record);
    const auto sentAt = monotonicNow();
    const auto result = co_await m_store.append(std::move(request), appendTimeout);
    adaptAppendWindow(m_queue, result.m_kind, monotonicNow() - sentAt, appendTimeout);
    applyAppendResult(m_queue, batch, result.m_kind);
    if (result.m_kind == StoreAppendKind::Stored)
        appendWaiting();
    else
        asio::co_spawn(m_context, appendLater(), asio::detached);
}

auto SubmissionWriter::Impl::appendLater() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    co_await sleepFor(retryPause);
    appendWaiting();
}

SubmissionWriter::SubmissionWriter(asio::io_context& context, RecordStore& store, StoreLimits limits)
    : m_impl(std::make_shared<Impl>(context, store))
{
    m_impl->m_queue.m_limits = limits;
}

auto SubmissionWriter::store(std::string record, Instant deadline) -> asio::awaitable<IntakeOutcome>
{
    const auto impl = m_impl;
    if (record.size() > impl->m_queue.m_limits.m_recordBytes)
        co_return IntakeOutcome::TooLarge;
    const auto remaining = deadline - monotonicNow();
    if (remaining <= Duration { 0 })
        co_return IntakeOutcome::Refused;
    const auto settled = std::make_shared<Signal>(impl->m_context);
    const auto submission = std::make_shared<PendingSubmission>();
    submission->m_record = std::move(record);
    submission->m_onOutcome = [settled] { settled->notify(); };
    impl->m_queue.m_waiting.push_back(submission);
    impl->appendWaiting();
    co_await settled->wait(remaining);
    co_return abandonSubmission(impl->m_queue, submission);
}

} // namespace hemlockvane::detail
