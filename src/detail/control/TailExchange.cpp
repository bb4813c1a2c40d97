#include "hemlockvane/detail/control/TailExchange.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/LogTail.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/log/CachedRecords.h"
#include "hemlockvane/membership/Vouch.h"

#include "hemlockvane/peers.pb.h"

namespace hemlockvane::detail {

namespace {

constexpr std::size_t maximumTailBytes = 256UL * 1024;

auto requestTail(ControlCore& core, const wire::Envelope& envelope) -> void
{
    const auto from = core.m_state.m_nextOffset;
    if (envelope.beat().folded_end() <= from || core.m_state.m_halted || readsLog(core.m_vouch, monotonicNow()))
        return;
    wire::Envelope request;
    request.mutable_tail_request()->set_from(from);
    sendToPeer(core, envelope.sender(), request);
}

auto answerTail(ControlCore& core, const wire::Envelope& envelope) -> void
{
    wire::Envelope answer;
    auto& batch = *answer.mutable_tail_answer()->mutable_batch();
    if (fillCachedTail(core.m_recordCache, envelope.tail_request().from(), maximumTailBytes, batch))
        sendToPeer(core, envelope.sender(), answer);
}

auto foldTail(ControlCore& core, const wire::Envelope& envelope) -> void
{
    const auto& batch = envelope.tail_answer().batch();
    if (batch.records().empty() || batch.first_offset() != core.m_state.m_nextOffset)
        return;
    foldRecords(core, batch);
    logOf("log").info("took records from {}, folded to {}", envelope.sender(), core.m_state.m_nextOffset);
}

auto onMessage(ControlCore& core, const wire::Envelope& envelope) -> void
{
    if (envelope.has_beat())
        requestTail(core, envelope);
    else if (envelope.has_tail_request())
        answerTail(core, envelope);
    else if (envelope.has_tail_answer())
        foldTail(core, envelope);
}

} // namespace

auto attachTailExchange(ControlCore& core) -> void
{
    core.m_onMessage.emplace_back([&core](const wire::Envelope& envelope) { onMessage(core, envelope); });
}

} // namespace hemlockvane::detail
