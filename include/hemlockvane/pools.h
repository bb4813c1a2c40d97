#pragma once

/// @file
/// @brief Includes the pools module: state, records and decisions, no I/O.

#include "hemlockvane/pools/ApplyPools.h"
#include "hemlockvane/pools/InstanceRecord.h"
#include "hemlockvane/pools/PlanMoves.h"
#include "hemlockvane/pools/PoolState.h"
#include "hemlockvane/pools/RequiredSpareInstances.h"
