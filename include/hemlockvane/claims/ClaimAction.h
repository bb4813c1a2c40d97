#pragma once

#include "hemlockvane/claims/ClaimReply.h"
#include "hemlockvane/claims/DispatchClaimed.h"
#include "hemlockvane/claims/SendToPeer.h"

#include <variant>

namespace hemlockvane {

/// @brief What the shell does after a claims event.
using ClaimAction = std::variant<SendToPeer, DispatchClaimed, ClaimReply>;

} // namespace hemlockvane
