#pragma once

#include "hemlockvane/claims.h"
#include "hemlockvane/membership.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief One simulated entry of a ClaimWorld.
struct ClaimWorldNode {
    ClaimState m_state;
    MembershipState m_membership;
    Offset m_foldedEnd = 0;
    bool m_crashed = false;
    bool m_vouched = true;
};

/// @brief One membership record of a ClaimWorld's log.
struct ClaimWorldRecord {
    enum class Kind { Join, Remove, Take } m_kind;
    std::string m_instance;
    std::string m_zone;
};

/// @brief Simulates the entries of one claim slot, messages that are delivered in any order, one key and one executor.
struct ClaimWorld {
    std::vector<ClaimWorldNode> m_nodes;
    std::vector<ClaimWorldRecord> m_log;
    std::vector<SendToPeer> m_messages; ///< Sent and not delivered; one that is never delivered is lost.
    std::vector<std::pair<std::size_t, std::uint64_t>> m_running; ///< Dispatched requests: node, ticket.
    std::vector<ClaimReply> m_replies;
    ClaimTime m_time { Instant {}, 1'700'000'000'000 };
    std::string m_key; ///< Stamped with the start time.
    std::uint64_t m_nextTicket = 1;
    int m_executed = 0; ///< Requests that ran or may have run.
    bool m_falseNotRun = false; ///< "Not run" was answered for a key that may have run.
};

/// @brief Makes a world whose entries have joined and whose first entry is the slot's holder.
/// @param zones availability zone of each entry
auto makeClaimWorld(const std::vector<std::string>& zones) -> ClaimWorld;

/// @brief Makes the text of a UUIDv7 with a stamp.
auto makeRequestKey(WallMillis stampedAt, unsigned serial) -> std::string;

/// @brief Instance id of a node.
auto nodeName(std::size_t node) -> std::string;

auto append(ClaimWorld& world, ClaimWorldRecord record) -> void;

/// @brief Folds the log to its end at a node.
auto foldLog(ClaimWorld& world, std::size_t node) -> void;

/// @brief Sends the key's request to a node.
/// @result the request's ticket
auto request(ClaimWorld& world, std::size_t node, std::uint64_t bodyHash = 1) -> std::uint64_t;

/// @brief Delivers one message, or drops it if its receiver has crashed.
auto deliver(ClaimWorld& world, std::size_t index) -> void;

/// @brief Delivers messages in the order in which they were sent until none is left.
auto deliverAll(ClaimWorld& world) -> void;

/// @brief Ends a dispatched request with a result.
auto finish(ClaimWorld& world, std::size_t index, ClaimResult result, std::string_view answer = "answer") -> void;

/// @brief Advances both clocks and ticks every node.
auto passTime(ClaimWorld& world, Duration time) -> void;

/// @brief Crashes a node, records its removal and the successor's takeover, and runs until the takeover is finished.
auto takeOver(ClaimWorld& world, std::size_t crashed, std::size_t successor) -> void;

/// @brief Finds the reply to a ticket.
/// @result null if there is none
auto replyTo(const ClaimWorld& world, std::uint64_t ticket) -> const ClaimReply*;

/// @brief Text of the complete simulated state; two worlds with equal texts continue alike.
auto fingerprint(const ClaimWorld& world) -> std::string;

} // namespace hemlockvane
