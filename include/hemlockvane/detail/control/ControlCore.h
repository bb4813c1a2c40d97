#pragma once

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/control/CommitWaiter.h"
#include "hemlockvane/detail/control/PeerStatus.h"
#include "hemlockvane/detail/control/TrafficView.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/peers/PeerSockets.h"
#include "hemlockvane/detail/platform/LogClient.h"
#include "hemlockvane/detail/settings/ServeSettings.h"
#include "hemlockvane/keys/PendingWithdrawals.h"
#include "hemlockvane/log/AppenderState.h"
#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/RecordCache.h"
#include "hemlockvane/membership/PlannerState.h"
#include "hemlockvane/membership/VouchState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::wire {
class Envelope;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

/// @brief State of the control thread, shared by its drivers. Only `m_view` may be read from other threads.
struct ControlCore {
    ControlCore(ServeSettings settings, std::string instance, Metrics& metrics);

    ServeSettings m_settings;
    std::string m_instance; ///< Id of this process; never reused.
    Metrics& m_metrics;
    boost::asio::io_context m_context { 1 };
    LogClient m_log;
    PeerSockets m_peers;
    FleetState m_state;
    RecordCache m_recordCache; ///< For peers that cannot read the log.
    Offset m_oldestOffset = 0; ///< Offset of the oldest record that the log keeps, as of the last read.
    AppenderState m_appender;
    PendingWithdrawals m_pendingWithdrawals; ///< Key withdrawals that are in force and not yet folded on every entry.
    boost::asio::steady_timer m_appendTimer; ///< Cancelled to wake pumpAppends when an operation is queued.
    std::multimap<std::string, std::shared_ptr<CommitWaiter>> m_waiters; ///< By operation id.
    bool m_isLogReachable = false; ///< The last read of the log succeeded.
    bool m_isStopping = false; ///< A planned stop is in progress.
    bool m_isStopped = false; ///< Nothing is sent or answered any more.
    std::function<void()> m_stop = [] {}; ///< Begins a planned stop of the process.
    VouchState m_vouch;
    PlannerState m_planner;
    Instant m_lastRemovalAt = Instant::min(); ///< When the last unplanned removal of an entry was read back.
    Offset m_lastRemovalOffset = 0;
    Offset m_lastMembershipVersion = 0; ///< Version of the membership that the peer sockets were last updated to.
    std::optional<Instant> m_caughtUpAt; ///< When the last read that reached the end of the log was sent.
    std::uint64_t m_lastHeartbeatSequence = 0;
    std::map<std::uint64_t, Instant> m_heartbeatsSentAt; ///< By sequence, to match the answers.
    std::map<std::string, PeerStatus, std::less<>> m_peerStatus; ///< By peer, from its last heartbeat.
    std::string m_trafficAddress;
    std::string m_peersEndpoint;
    std::vector<ListedInstance> m_listed;
    Instant m_listRequestedAt; ///< When the current list was requested.
    bool m_isListChanged = true; ///< The list is not yet published to the traffic thread.
    std::uint64_t m_operationCount = 0; ///< Number of operation ids made so far.

    /// Called after each folded batch of records.
    std::vector<std::function<void()>> m_onFolded;
    /// Called with each message from a peer.
    std::vector<std::function<void(const wire::Envelope&)>> m_onMessage;

    std::atomic<std::shared_ptr<const TrafficView>> m_view;
};

/// @brief Publishes a new view for the traffic thread from the current state.
auto publishView(ControlCore& core) -> void;

/// @brief Sends a message to a peer, with this process as its sender.
auto sendToPeer(ControlCore& core, std::string_view instance, wire::Envelope& envelope) -> void;

/// @brief Epoch of a duty that this instance holds and may act under now: its state is vouched for, and every entry
/// that was removed without a plan has certainly stopped.
/// @result empty when it may not act under the duty
auto dutyEpoch(const ControlCore& core, std::string_view duty) -> std::optional<Offset>;

/// @brief Makes an operation id that is unique among all processes.
auto newOperationId(ControlCore& core) -> std::string;

} // namespace hemlockvane::detail
