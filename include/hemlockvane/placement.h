#pragma once

/// @file
/// @brief Includes the placement module: state, messages and decisions, no I/O.

#include "hemlockvane/placement/FleetCapacity.h"
#include "hemlockvane/placement/PlanPlacement.h"
#include "hemlockvane/placement/TeamShares.h"
#include "hemlockvane/placement/TrackTasks.h"
#include "hemlockvane/placement/WorkerReliability.h"
