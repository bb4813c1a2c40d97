#pragma once

#include "hemlockvane/claims.h"
#include "hemlockvane/membership.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief One entry of a ClaimWorld.
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

/// @brief Entries around one claim slot, their messages in any order, one key and one executor.
struct ClaimWorld {
    std::vector<ClaimWorldNode> m_nodes;
    std::vector<ClaimWorldRecord> m_log;
    std::vector<SendToPeer> m_messages; ///< Sent and not delivered; one that stays there is lost.
    std::vector<std::pair<std::size_t, std::uint64_t>> m_running; ///< Node and ticket told to dispatch.
    std::vector<ClaimReply> m_replies;
    ClaimTime m_time { Instant {}, 1'700'000'000'000 };
    std::string m_key; ///< Stamped now at the start.
    std::uint64_t m_nextTicket = 1;
    int m_executed = 0; ///< Requests that ran or may have run.
    bool m_falseNotRun = false; ///< "Not run" was said of a key that may have run.
};

/// @brief A world whose entries have folded their own joins and whose first entry holds the slot.
/// @param zones one entry for each
auto makeClaimWorld(const std::vector<std::string>& zones) -> ClaimWorld;

/// @brief Text of a UUIDv7 with a stamp.
auto makeRequestKey(WallMillis stampedAt, unsigned serial) -> std::string;

/// @brief Name of a node's instance.
auto nodeName(std::size_t node) -> std::string;

auto append(ClaimWorld& world, ClaimWorldRecord record) -> void;

/// @brief The node folds the log to its end.
auto foldLog(ClaimWorld& world, std::size_t node) -> void;

/// @brief The key's request comes in at a node.
auto request(ClaimWorld& world, std::size_t node, std::uint64_t bodyHash = 1) -> std::uint64_t;

/// @brief Delivers one message, or drops it when its receiver crashed.
auto deliver(ClaimWorld& world, std::size_t index) -> void;

/// @brief Delivers messages in the order sent until there is none.
auto deliverAll(ClaimWorld& world) -> void;

/// @brief Ends a running request.
auto finish(ClaimWorld& world, std::size_t index, ClaimResult result, std::string_view answer = "answer") -> void;

/// @brief Advances both clocks and ticks every node.
auto passTime(ClaimWorld& world, Duration time) -> void;

/// @brief Crashes a node, has it removed and its duty taken, and settles everything.
auto takeOver(ClaimWorld& world, std::size_t crashed, std::size_t successor) -> void;

/// @brief The reply to a ticket, null when there is none.
auto replyTo(const ClaimWorld& world, std::uint64_t ticket) -> const ClaimReply*;

/// @brief Everything that decides how the world goes on.
auto fingerprint(const ClaimWorld& world) -> std::string;

} // namespace hemlockvane
