#pragma once

/// @file
/// @brief The routing slice: which executor and connection a request takes, and what a failure means, without sockets.

#include "hemlockvane/routing/ChooseExecutor.h"
#include "hemlockvane/routing/ConnectionLiveness.h"
#include "hemlockvane/routing/ConnectionSubset.h"
#include "hemlockvane/routing/ExecutorHealth.h"
#include "hemlockvane/routing/FailedAttempt.h"
#include "hemlockvane/routing/RetryBudget.h"
#include "hemlockvane/routing/RetryDecision.h"
#include "hemlockvane/routing/RoutingState.h"
