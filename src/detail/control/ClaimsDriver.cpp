#include "hemlockvane/detail/control/ClaimsDriver.h"

#include "hemlockvane/claims/ClaimAction.h"
#include "hemlockvane/claims/ClaimEvents.h"
#include "hemlockvane/claims/ClaimTicket.h"
#include "hemlockvane/claims/ClaimTime.h"
#include "hemlockvane/claims/ClaimView.h"
#include "hemlockvane/claims/RequestKey.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/membership/Duties.h"
#include "hemlockvane/membership/Vouch.h"

#include "hemlockvane/peers.pb.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration tickInterval { 25 };

auto settingsFor(const ServeSettings& settings) -> ClaimSettings
{
    ClaimSettings result;
    result.m_slots = DutyCounts {}.m_claimSlots;
    result.m_removalGrace = settings.m_vouch + settings.m_maximumClockDrift + 2 * settings.m_listLag;
    return result;
}

auto viewOf(const ControlCore& core) -> ClaimView
{
    return { core.m_state.m_membership, core.m_state.m_nextOffset, mayAct(core.m_vouch, monotonicNow()) };
}

auto timeNow() -> ClaimTime { return { monotonicNow(), wallNow() }; }

auto carryOut(ClaimsDriver& driver, SendToPeer& action) -> void
{
    sendToPeer(driver.m_core, action.m_peer, action.m_envelope);
}

auto carryOut(ClaimsDriver& driver, const DispatchClaimed& action) -> void
{
    const auto found = driver.m_waits.find(action.m_ticket);
    if (found == driver.m_waits.end()) {
        endClaim(driver, action.m_ticket, ClaimResult::NotRun, {});
        return;
    }
    found->second->m_mayDispatch = true;
    found->second->m_signal->cancel();
}

auto carryOut(ClaimsDriver& driver, const ClaimReply& action) -> void
{
    const auto found = driver.m_waits.find(action.m_ticket);
    if (found == driver.m_waits.end())
        return;
    found->second->m_reply = action;
    found->second->m_signal->cancel();
}

auto carryOutAll(ClaimsDriver& driver, std::vector<ClaimAction> actions) -> void
{
    for (auto& action : actions)
        std::visit([&](auto& alternative) { carryOut(driver, alternative); }, action);
}

auto onFolded(ClaimsDriver& driver) -> void
{
    const auto version = driver.m_core.m_state.m_membership.m_version;
    if (version == driver.m_lastMembershipVersion
        || !isMember(driver.m_core.m_state.m_membership, driver.m_core.m_instance))
        return;
    driver.m_lastMembershipVersion = version;
    carryOutAll(driver, onMembershipFolded(driver.m_state, viewOf(driver.m_core), timeNow()));
}

auto onMessage(ClaimsDriver& driver, const wire::Envelope& envelope) -> void
{
    carryOutAll(driver, onClaimMessage(driver.m_state, viewOf(driver.m_core), envelope, timeNow()));
}

} // namespace

ClaimsDriver::ClaimsDriver(ControlCore& core)
    : m_core(core)
    , m_state(makeClaimState(core.m_instance, settingsFor(core.m_settings)))
{
}

auto awaitClaim(ClaimsDriver& driver, std::string team, std::string key, std::uint64_t bodyHash, Instant deadline)
    -> asio::awaitable<ClaimWait>
{
    auto wait = std::make_shared<ClaimWait>();
    wait->m_ticket = ++driver.m_lastTicket;
    FailureReason reason;
    const auto parsed = parseRequestKey(key, reason);
    if (!parsed) {
        wait->m_reply = ClaimReply { wait->m_ticket, reason.m_kind, reason.m_text, "", true, {} };
        co_return *wait;
    }
    wait->m_signal
        = std::make_shared<asio::steady_timer>(driver.m_core.m_context, asio::steady_timer::time_point::max());
    driver.m_waits[wait->m_ticket] = wait;
    ClaimTicket ticket;
    ticket.m_ticket = wait->m_ticket;
    ticket.m_key = { std::move(team), parsed->m_text };
    ticket.m_bodyHash = bodyHash;
    ticket.m_deadline = deadline;
    carryOutAll(driver, onClaimRequested(driver.m_state, viewOf(driver.m_core), std::move(ticket), timeNow()));
    boost::system::error_code error;
    if (!wait->m_mayDispatch && !wait->m_reply)
        co_await wait->m_signal->async_wait(asio::redirect_error(asio::use_awaitable, error));
    driver.m_waits.erase(wait->m_ticket);
    co_return *wait;
}

auto endClaim(ClaimsDriver& driver, std::uint64_t ticket, ClaimResult result, std::string_view answer) -> void
{
    carryOutAll(driver, onClaimOutcome(driver.m_state, viewOf(driver.m_core), ticket, result, answer, timeNow()));
}

auto runClaims(ClaimsDriver& driver) -> asio::awaitable<void>
{
    auto& core = driver.m_core;
    core.m_onFolded.emplace_back([&driver]() { onFolded(driver); });
    core.m_onMessage.emplace_back([&driver](const wire::Envelope& envelope) { onMessage(driver, envelope); });
    while (!core.m_isStopped) {
        if (driver.m_lastMembershipVersion != 0)
            carryOutAll(driver, onClaimTick(driver.m_state, viewOf(core), timeNow()));
        co_await sleepFor(tickInterval);
    }
}

} // namespace hemlockvane::detail
