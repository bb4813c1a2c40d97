#pragma once

#include "hemlockvane/claims/ClaimReply.h"
#include "hemlockvane/claims/DispatchClaimed.h"
#include "hemlockvane/claims/SendToPeer.h"

#include <variant>

namespace hemlockvane {

/// @brief An action that the I/O layer carries out after a claims event.
using ClaimAction = std::variant<SendToPeer, DispatchClaimed, ClaimReply>;

} // namespace hemlockvane
