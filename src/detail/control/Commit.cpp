#include "hemlockvane/detail/control/Commit.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/log/Appender.h"

#include "hemlockvane/records.pb.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

auto enqueueOperation(ControlCore& core, wire::Operation& operation, Duration timeout, bool keepDuringOutage,
    FailureReason& reason) -> bool
{
    if (operation.id().empty())
        operation.set_id(newOperationId(core));
    const auto now = monotonicNow();
    const AppendOptions options { keepDuringOutage ? Instant::max() : now + timeout, keepDuringOutage };
    const auto queued = enqueue(core.m_appender, operation, options, now, reason);
    core.m_appendTimer.cancel();
    return queued;
}

auto removeWaiter(ControlCore& core, const std::string& id, const std::shared_ptr<CommitWaiter>& waiter) -> void
{
    const auto [begin, end] = core.m_waiters.equal_range(id);
    for (auto it = begin; it != end; ++it) {
        if (it->second == waiter) {
            core.m_waiters.erase(it);
            return;
        }
    }
}

} // namespace

auto commit(ControlCore& core, wire::Operation operation, Duration timeout, bool keepDuringOutage)
    -> asio::awaitable<OperationResult>
{
    if (operation.id().empty())
        operation.set_id(newOperationId(core));
    if (const auto* known = findResult(core.m_state.m_operations, operation.id()))
        co_return *known;
    FailureReason reason;
    const auto id = operation.id();
    if (!enqueueOperation(core, operation, timeout, keepDuringOutage, reason))
        co_return OperationResult { id, 0, reason.m_kind, reason.m_text };
    const auto waiter = std::make_shared<CommitWaiter>(core.m_context.get_executor());
    core.m_waiters.emplace(id, waiter);
    waiter->m_signal.expires_after(timeout);
    boost::system::error_code error;
    if (!waiter->m_result)
        co_await waiter->m_signal.async_wait(asio::redirect_error(asio::use_awaitable, error));
    removeWaiter(core, id, waiter);
    if (waiter->m_result)
        co_return *waiter->m_result;
    co_return OperationResult { id, 0, ErrorKind::OutcomeUnknown,
        "the operation was not read back from the log in time" };
}

auto post(ControlCore& core, wire::Operation operation, Duration timeout, bool keepDuringOutage) -> bool
{
    FailureReason reason;
    return enqueueOperation(core, operation, timeout, keepDuringOutage, reason);
}

auto deliverResults(ControlCore& core, std::span<const OperationResult> results) -> void
{
    for (const auto& result : results) {
        const auto [begin, end] = core.m_waiters.equal_range(result.m_id);
        for (auto it = begin; it != end; ++it) {
            it->second->m_result = result;
            it->second->m_signal.cancel();
        }
    }
}

} // namespace hemlockvane::detail
