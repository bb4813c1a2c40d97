#pragma once

/// @file
/// @brief The routing slice: selects the executor and connection for a request and decides what follows a failure. It
/// does no I/O.

#include "hemlockvane/routing/ChooseExecutor.h"
#include "hemlockvane/routing/ConnectionLiveness.h"
#include "hemlockvane/routing/ConnectionSubset.h"
#include "hemlockvane/routing/ExecutorHealth.h"
#include "hemlockvane/routing/FailedAttempt.h"
#include "hemlockvane/routing/RetryBudget.h"
#include "hemlockvane/routing/RetryDecision.h"
#include "hemlockvane/routing/RoutingState.h"
