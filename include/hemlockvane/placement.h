#pragma once

/// @file
/// @brief The placement slice: its state, messages and decisions, without sockets.

#include "hemlockvane/placement/FleetCapacity.h"
#include "hemlockvane/placement/PlanPlacement.h"
#include "hemlockvane/placement/TeamShares.h"
#include "hemlockvane/placement/TrackTasks.h"
#include "hemlockvane/placement/WorkerReliability.h"
