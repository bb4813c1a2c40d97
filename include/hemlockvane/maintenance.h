#pragma once

/// @file
/// @brief Includes the maintenance module: state, records and decisions, no I/O.

#include "hemlockvane/maintenance/ApplyMaintenance.h"
#include "hemlockvane/maintenance/FailureDomainBudget.h"
#include "hemlockvane/maintenance/FindLostInstances.h"
#include "hemlockvane/maintenance/MaintenanceState.h"
#include "hemlockvane/maintenance/PlanWave.h"
#include "hemlockvane/maintenance/PoolBudget.h"
#include "hemlockvane/maintenance/PoolCounts.h"
#include "hemlockvane/maintenance/WaveForecast.h"
#include "hemlockvane/maintenance/WaveRecord.h"
