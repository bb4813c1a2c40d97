#pragma once

#include "hemlockvane/claims/ClaimAction.h"
#include "hemlockvane/claims/ClaimTime.h"
#include "hemlockvane/log/FoldContext.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hemlockvane {

struct ClaimState;
struct ClaimView;

/// @brief The event being handled: the state that it may change, its inputs and the actions collected so far.
struct ClaimContext {
    ClaimState& m_state;
    const ClaimView& m_view;
    const ClaimTime& m_time;
    std::vector<ClaimAction>& m_actions;
};

/// @brief Adds an action that sends a message.
/// @param peer instance id of the receiver
/// @result the message to fill in
auto addClaimMessage(ClaimContext& context, std::string_view peer) -> wire::Envelope&;

/// @brief Fills in the fence of a message: the duty of its slot and the epoch that it belongs to.
auto fillFence(wire::Fence& fence, std::size_t slot, Offset epoch) -> void;

} // namespace hemlockvane
