#pragma once

/// @file
/// @brief The keys slice: state, records and decisions about the keys of callers. It does no I/O.

#include "hemlockvane/keys/ApplyKeys.h"
#include "hemlockvane/keys/CheckKey.h"
#include "hemlockvane/keys/KeyCheckRequest.h"
#include "hemlockvane/keys/KeyRecord.h"
#include "hemlockvane/keys/KeyState.h"
#include "hemlockvane/keys/PendingWithdrawal.h"
#include "hemlockvane/keys/PendingWithdrawals.h"
#include "hemlockvane/keys/PropagateWithdrawals.h"
#include "hemlockvane/keys/WithdrawalProgress.h"
