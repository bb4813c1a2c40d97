#include "hemlockvane/detail/control/MembershipDriver.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/peers/EnvelopeEpoch.h"
#include "hemlockvane/detail/platform/InstanceListClient.h"
#include "hemlockvane/keys/PropagateWithdrawals.h"
#include "hemlockvane/log/SnapshotPlan.h"
#include "hemlockvane/membership/Duties.h"
#include "hemlockvane/membership/MembershipPlan.h"
#include "hemlockvane/membership/Vouch.h"

#include "hemlockvane/peers.pb.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration listTimeout { 1000 };
constexpr Duration listInterval { 500 };
constexpr Duration planInterval { 200 };
constexpr Duration handoverTimeout { 5000 };
constexpr std::size_t maximumUnansweredHeartbeats = 64;

auto toView(const std::vector<ListedInstance>& listed, Instant requestedAt) -> InstanceListView
{
    InstanceListView view;
    view.m_requestedAt = requestedAt;
    for (const auto& instance : listed) {
        if (instance.m_kind == "entry")
            view.m_instances[instance.m_id] = instance.m_isLeaving ? ListedStatus::Leaving : ListedStatus::Live;
    }
    return view;
}

auto applyList(ControlCore& core, std::vector<ListedInstance> listed, Instant requestedAt) -> void
{
    core.m_listed = std::move(listed);
    core.m_listRequestedAt = requestedAt;
    auto view = toView(core.m_listed, requestedAt);
    onInstanceList(core.m_vouch, core.m_state.m_membership, view, monotonicNow());
    onInstanceList(core.m_planner, std::move(view));
    core.m_isListChanged = true;
    publishView(core);
}

auto ownListing(const ControlCore& core, bool isLeaving) -> ListedInstance
{
    return { core.m_instance, "entry", "", core.m_settings.m_zone, "", core.m_trafficAddress, isLeaving };
}

auto joinFleet(ControlCore& core) -> asio::awaitable<void>
{
    FailureReason reason;
    while (!core.m_isStopping && !isMember(core.m_state.m_membership, core.m_instance)) {
        if (!co_await registerInstance(
                core.m_settings.m_instancesAddress, ownListing(core, false), listTimeout, reason))
            logOf("membership").warn("cannot announce this entry in the instance list: {}", reason.m_text);
        wire::Operation operation;
        operation.set_id(core.m_instance + "/join");
        auto& join = *operation.mutable_join_entry();
        join.set_instance(core.m_instance);
        join.set_zone(core.m_settings.m_zone);
        join.set_address(core.m_peersEndpoint);
        join.set_traffic_address(core.m_trafficAddress);
        const auto result = co_await commit(core, std::move(operation));
        if (result.m_error != ErrorKind::None)
            logOf("membership").warn("cannot join the fleet yet, retrying: {}", result.m_reason);
        co_await sleepFor(planInterval);
    }
    logOf("membership").info("joined in zone {}", core.m_settings.m_zone);
}

auto toOperation(ControlCore& core, const MembershipAction& action) -> wire::Operation
{
    wire::Operation operation;
    if (action.m_step == MembershipStep::TakeDuty) {
        operation.mutable_take_duty()->set_duty(action.m_subject);
        operation.mutable_take_duty()->set_instance(core.m_instance);
        operation.mutable_take_duty()->set_replaces_epoch(action.m_epoch);
    } else if (action.m_step == MembershipStep::ReleaseDuty) {
        operation.mutable_release_duty()->mutable_fence()->set_duty(action.m_subject);
        operation.mutable_release_duty()->mutable_fence()->set_epoch(action.m_epoch);
    } else {
        const auto isSelf = action.m_step == MembershipStep::LeaveFleet;
        operation.mutable_remove_entry()->set_instance(isSelf ? core.m_instance : action.m_subject);
        operation.mutable_remove_entry()->set_planned(isSelf);
        operation.mutable_remove_entry()->set_author(core.m_instance);
    }
    return operation;
}

auto carryOut(ControlCore& core, const MembershipAction& action) -> void
{
    if (action.m_step == MembershipStep::StopSelf) {
        logOf("membership").error("stopping: {}", action.m_reason);
        core.m_stop();
        return;
    }
    logOf("membership")
        .info("{} {}: {}", action.m_step == MembershipStep::TakeDuty ? "taking duty" : "recording change of",
            action.m_subject, action.m_reason);
    post(core, toOperation(core, action));
}

auto connectMembers(ControlCore& core) -> void
{
    for (const auto& [id, entry] : core.m_state.m_membership.m_entries) {
        if (id == core.m_instance)
            continue;
        if (entry.m_removedAt == 0)
            core.m_peers.connect(id, entry.m_address);
        else
            core.m_peers.disconnect(id);
    }
}

// Records when the last unplanned removal was read back: the holder of a duty that is taken over may act only after the
// removed entry has certainly stopped.
auto recordRemovals(ControlCore& core) -> void
{
    for (const auto& [id, entry] : core.m_state.m_membership.m_entries) {
        if (entry.m_planned || entry.m_removedAt <= core.m_lastRemovalOffset)
            continue;
        core.m_lastRemovalOffset = entry.m_removedAt;
        core.m_lastRemovalAt = monotonicNow();
    }
}

auto onMembershipFolded(ControlCore& core) -> void
{
    if (core.m_lastMembershipVersion == core.m_state.m_membership.m_version)
        return;
    core.m_lastMembershipVersion = core.m_state.m_membership.m_version;
    connectMembers(core);
    recordRemovals(core);
}

// While this entry has not folded up to the known end of the log, it has no hash for that offset and sends 0, which
// peers do not compare.
auto fillHeartbeat(ControlCore& core, wire::Beat& beat) -> void
{
    const auto now = monotonicNow();
    const auto isBehindKnownEnd = core.m_vouch.m_knownEnd > core.m_state.m_nextOffset;
    beat.set_folded_end(std::max(core.m_vouch.m_knownEnd, core.m_state.m_nextOffset));
    beat.set_state_hash(isBehindKnownEnd ? 0 : core.m_state.m_chainHash);
    beat.set_log_reachable(readsLog(core.m_vouch, now));
    beat.set_configuration_version(core.m_state.m_configuration.m_version);
    if (const auto age = logReadAge(core.m_vouch, now))
        beat.set_log_read_age_ms(static_cast<std::uint32_t>(age->count()));
    for (auto& operation : pendingOperations(core.m_pendingWithdrawals))
        *beat.add_flooded() = std::move(operation);
}

auto answerHeartbeat(ControlCore& core, const wire::Envelope& envelope) -> void
{
    wire::Envelope answer;
    answer.mutable_beat()->set_sequence(envelope.beat().sequence());
    answer.mutable_beat()->set_is_answer(true);
    fillHeartbeat(core, *answer.mutable_beat());
    sendToPeer(core, envelope.sender(), answer);
}

auto onHeartbeatAnswer(ControlCore& core, const wire::Envelope& envelope) -> void
{
    const auto& beat = envelope.beat();
    const auto sent = core.m_heartbeatsSentAt.find(beat.sequence());
    if (sent == core.m_heartbeatsSentAt.end())
        return;
    PeerReport report { sent->second, beat.folded_end(), beat.log_reachable(), std::nullopt };
    if (beat.has_log_read_age_ms())
        report.m_logReadAge = Duration(beat.log_read_age_ms());
    onPeerReport(core.m_vouch, core.m_state.m_membership, envelope.sender(), report, monotonicNow());
    publishView(core);
}

auto checkDivergence(const ControlCore& core, const wire::Envelope& envelope) -> void
{
    const auto& beat = envelope.beat();
    if (hasDiverged(core.m_state.m_nextOffset, core.m_state.m_chainHash, beat.folded_end(), beat.state_hash()))
        logOf("log").error("state differs from {} at offset {}", envelope.sender(), beat.folded_end());
}

auto onMessage(ControlCore& core, const wire::Envelope& envelope) -> void
{
    onPeerMessage(core.m_planner, envelope.sender(), monotonicNow());
    onKnownEnd(core.m_vouch, newestEpoch(envelope));
    if (envelope.message_case() != wire::Envelope::kBeat)
        return;
    checkDivergence(core, envelope);
    const auto& beat = envelope.beat();
    core.m_peerStatus[envelope.sender()] = { monotonicNow(), beat.folded_end(), beat.configuration_version() };
    if (envelope.beat().is_answer())
        onHeartbeatAnswer(core, envelope);
    else
        answerHeartbeat(core, envelope);
}

auto holdsDuty(const ControlCore& core) -> bool
{
    const auto& duties = core.m_state.m_membership.m_duties;
    return std::any_of(
        duties.begin(), duties.end(), [&](const auto& duty) { return duty.second.m_holder == core.m_instance; });
}

} // namespace

auto watchInstances(ControlCore& core) -> asio::awaitable<void>
{
    while (!core.m_isStopped) {
        FailureReason reason;
        const auto requestedAt = monotonicNow();
        auto listed = co_await readInstanceList(core.m_settings.m_instancesAddress, listTimeout, reason);
        if (listed)
            applyList(core, std::move(*listed), requestedAt);
        co_await sleepFor(listInterval);
    }
}

auto runMembership(ControlCore& core) -> asio::awaitable<void>
{
    while (!core.m_caughtUpAt && !core.m_isStopping)
        co_await sleepFor(planInterval);
    co_await joinFleet(core);
    while (!core.m_isStopping) {
        const auto now = monotonicNow();
        if (mayAct(core.m_vouch, now)) {
            for (const auto& action : planMembership(core.m_planner, core.m_state.m_membership, now))
                carryOut(core, action);
        }
        co_await sleepFor(planInterval);
    }
}

auto sendHeartbeat(ControlCore& core) -> void
{
    wire::Envelope envelope;
    const auto sequence = ++core.m_lastHeartbeatSequence;
    envelope.mutable_beat()->set_sequence(sequence);
    fillHeartbeat(core, *envelope.mutable_beat());
    core.m_heartbeatsSentAt[sequence] = monotonicNow();
    if (core.m_heartbeatsSentAt.size() > maximumUnansweredHeartbeats)
        core.m_heartbeatsSentAt.erase(core.m_heartbeatsSentAt.begin());
    for (const auto& [id, entry] : core.m_state.m_membership.m_entries) {
        if (entry.m_removedAt == 0 && id != core.m_instance)
            sendToPeer(core, id, envelope);
    }
}

auto sendHeartbeats(ControlCore& core) -> asio::awaitable<void>
{
    while (!core.m_isStopped) {
        sendHeartbeat(core);
        co_await sleepFor(core.m_settings.m_heartbeatInterval);
    }
}

auto announceLeaving(ControlCore& core) -> asio::awaitable<void>
{
    FailureReason reason;
    if (!co_await registerInstance(core.m_settings.m_instancesAddress, ownListing(core, true), listTimeout, reason))
        logOf("membership").warn("cannot mark this entry as leaving in the instance list: {}", reason.m_text);
}

auto leaveFleet(ControlCore& core) -> asio::awaitable<void>
{
    FailureReason reason;
    const auto deadline = monotonicNow() + handoverTimeout;
    while (isMember(core.m_state.m_membership, core.m_instance) && monotonicNow() < deadline) {
        for (const auto& action : planHandover(core.m_planner, core.m_state.m_membership))
            co_await commit(core, toOperation(core, action));
        if (!core.m_isLogReachable)
            co_return;
    }
    logOf("membership").info("left the fleet, duties still held: {}", holdsDuty(core) ? "some" : "none");
    co_await deregisterInstance(core.m_settings.m_instancesAddress, core.m_instance, listTimeout, reason);
}

auto attachMembership(ControlCore& core) -> void
{
    core.m_onFolded.emplace_back([&core]() { onMembershipFolded(core); });
    core.m_onMessage.emplace_back([&core](const wire::Envelope& envelope) { onMessage(core, envelope); });
}

} // namespace hemlockvane::detail
