#pragma once

/// @file
/// @brief The pools slice: its state, records and decisions, without sockets.

#include "hemlockvane/pools/ApplyPools.h"
#include "hemlockvane/pools/InstanceRecord.h"
#include "hemlockvane/pools/PlanMoves.h"
#include "hemlockvane/pools/PoolState.h"
#include "hemlockvane/pools/RequiredSpareInstances.h"
