#pragma once

/// @file
/// @brief Includes the jobs module: state, records and decisions, no I/O.

#include "hemlockvane/jobs/ApplyJobs.h"
#include "hemlockvane/jobs/JobRecord.h"
#include "hemlockvane/jobs/JobState.h"
#include "hemlockvane/jobs/JobStatus.h"
