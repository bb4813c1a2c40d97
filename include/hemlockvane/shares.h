#pragma once

/// @file
/// @brief The shares slice: fair shares of executor slots by team, and an entry's request queue for a service.

#include "hemlockvane/shares/Demand.h"
#include "hemlockvane/shares/FairShares.h"
#include "hemlockvane/shares/QueueLimits.h"
#include "hemlockvane/shares/QueuedRequest.h"
#include "hemlockvane/shares/RequestQueue.h"
#include "hemlockvane/shares/ShedRequest.h"
#include "hemlockvane/shares/SlotBalancer.h"
#include "hemlockvane/shares/SlotPlan.h"
