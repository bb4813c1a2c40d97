#pragma once

/// @file
/// @brief The jobs slice: its state, records and decisions, without sockets.

#include "hemlockvane/jobs/ApplyJobs.h"
#include "hemlockvane/jobs/JobRecord.h"
#include "hemlockvane/jobs/JobState.h"
#include "hemlockvane/jobs/JobStatus.h"
