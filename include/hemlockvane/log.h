#pragma once

/// @file
/// @brief The log slice: its state, records and decisions, without sockets.

#include "hemlockvane/log/AppendAnswer.h"
#include "hemlockvane/log/AppendTerms.h"
#include "hemlockvane/log/Appender.h"
#include "hemlockvane/log/AppenderLimits.h"
#include "hemlockvane/log/AppenderState.h"
#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/Fold.h"
#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/log/OperationResult.h"
#include "hemlockvane/log/OperationWindow.h"
#include "hemlockvane/log/PendingAppend.h"
#include "hemlockvane/log/PendingOperation.h"
#include "hemlockvane/log/Snapshot.h"
