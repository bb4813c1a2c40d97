#pragma once

/// @file
/// @brief The claims slice: at most one run of a request that carries an Idempotency-Key, without sockets.

#include "hemlockvane/claims/ClaimAction.h"
#include "hemlockvane/claims/ClaimEvents.h"
#include "hemlockvane/claims/ClaimKey.h"
#include "hemlockvane/claims/ClaimReply.h"
#include "hemlockvane/claims/ClaimResult.h"
#include "hemlockvane/claims/ClaimSettings.h"
#include "hemlockvane/claims/ClaimState.h"
#include "hemlockvane/claims/ClaimTicket.h"
#include "hemlockvane/claims/ClaimTime.h"
#include "hemlockvane/claims/ClaimView.h"
#include "hemlockvane/claims/DispatchClaimed.h"
#include "hemlockvane/claims/RequestKey.h"
#include "hemlockvane/claims/SendToPeer.h"
