#pragma once

/// @file
/// @brief The keys slice: its state, records and decisions, without sockets.

#include "hemlockvane/keys/ApplyKeys.h"
#include "hemlockvane/keys/CheckKey.h"
#include "hemlockvane/keys/FloodWithdrawal.h"
#include "hemlockvane/keys/FloodedWithdrawal.h"
#include "hemlockvane/keys/KeyQuestion.h"
#include "hemlockvane/keys/KeyRecord.h"
#include "hemlockvane/keys/KeyState.h"
#include "hemlockvane/keys/WithdrawalFlood.h"
#include "hemlockvane/keys/WithdrawalProgress.h"
