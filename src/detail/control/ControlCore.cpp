#include "hemlockvane/detail/control/ControlCore.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/log/Appender.h"
#include "hemlockvane/membership/Duties.h"
#include "hemlockvane/membership/MembershipPlan.h"
#include "hemlockvane/membership/Vouch.h"

#include "hemlockvane/peers.pb.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

// Returns a shared copy of one part of the state, or the published copy when its version has not changed.
template <typename Part>
auto shareIfChanged(const std::shared_ptr<const Part>& published, const Part& current) -> std::shared_ptr<const Part>
{
    if (published && published->m_version == current.m_version)
        return published;
    return std::make_shared<const Part>(current);
}

} // namespace

ControlCore::ControlCore(ServeSettings settings, std::string instance, Metrics& metrics)
    : m_settings(std::move(settings))
    , m_instance(std::move(instance))
    , m_metrics(metrics)
    , m_log(m_context.get_executor(), m_settings.m_logAddress)
    , m_peers(m_context,
          [this](const wire::Envelope& envelope) {
              for (const auto& handler : m_onMessage)
                  handler(envelope);
          })
    , m_appender(makeAppender({}, monotonicNow()))
    , m_appendTimer(m_context, asio::steady_timer::time_point::max())
{
    m_vouch.m_self = m_instance;
    m_vouch.m_limits = { m_settings.m_vouch, m_settings.m_listLag, m_settings.m_maximumClockDrift };
    m_planner = makePlanner(m_instance, dutyNames(DutyCounts {}), PlannerLimits {}, monotonicNow());
    m_view.store(std::make_shared<const TrafficView>());
    publishView(*this);
}

auto publishView(ControlCore& core) -> void
{
    const auto published = core.m_view.load();
    auto view = std::make_shared<TrafficView>(*published);
    view->m_keys = shareIfChanged(published->m_keys, core.m_state.m_keys);
    view->m_configuration = shareIfChanged(published->m_configuration, core.m_state.m_configuration);
    view->m_membership = shareIfChanged(published->m_membership, core.m_state.m_membership);
    if (core.m_isListChanged)
        view->m_listed = std::make_shared<const std::vector<ListedInstance>>(core.m_listed);
    core.m_isListChanged = false;
    if (!view->m_pendingWithdrawals || !core.m_pendingWithdrawals.m_withdrawals.empty()
        || !view->m_pendingWithdrawals->m_withdrawals.empty())
        view->m_pendingWithdrawals = std::make_shared<const PendingWithdrawals>(core.m_pendingWithdrawals);
    view->m_vouchedUntil = vouchedUntil(core.m_vouch);
    view->m_isDraining = core.m_isStopping;
    core.m_view.store(std::move(view));
}

auto sendToPeer(ControlCore& core, std::string_view instance, wire::Envelope& envelope) -> void
{
    envelope.set_sender(core.m_instance);
    if (!core.m_peers.send(instance, envelope))
        core.m_metrics.count("peer_messages_dropped_total");
}

auto dutyEpoch(const ControlCore& core, std::string_view duty) -> std::optional<Offset>
{
    const auto now = monotonicNow();
    const auto found = core.m_state.m_membership.m_duties.find(duty);
    if (found == core.m_state.m_membership.m_duties.end() || found->second.m_holder != core.m_instance)
        return std::nullopt;
    const auto hasSeenRemoval = core.m_lastRemovalAt != Instant::min();
    if (!mayAct(core.m_vouch, now) || (hasSeenRemoval && !mayStartTakeover(core.m_vouch, core.m_lastRemovalAt, now)))
        return std::nullopt;
    return found->second.m_epoch;
}

auto newOperationId(ControlCore& core) -> std::string
{
    return core.m_instance + "/" + std::to_string(++core.m_operationCount);
}

} // namespace hemlockvane::detail
