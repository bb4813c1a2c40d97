#pragma once

/// @file
/// @brief The placement slice: decides which worker runs which job, and when a task is preempted or its attempt has
/// ended. It does no I/O.

#include "hemlockvane/placement/FleetCapacity.h"
#include "hemlockvane/placement/PlanPlacement.h"
#include "hemlockvane/placement/TeamShares.h"
#include "hemlockvane/placement/TrackTasks.h"
#include "hemlockvane/placement/WorkerReliability.h"
