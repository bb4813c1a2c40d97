#pragma once

/// @file
/// @brief The claims slice: runs a request that carries an Idempotency-Key at most once. It does no I/O.
///
/// Keys are divided among claim slots. One entry, the holder, grants the keys of a slot; the entry that received the
/// request from its caller, the dispatcher, sends the request to an executor only with a grant. Records of granted keys
/// are mirrored to another availability zone, so that a new holder can rebuild them.

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
