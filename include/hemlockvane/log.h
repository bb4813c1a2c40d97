#pragma once

/// @file
/// @brief The log slice: folds the records of the log into the replicated state, queues and groups operations for
/// appending, and writes and reads snapshots. It does no I/O.

#include "hemlockvane/log/AppendOptions.h"
#include "hemlockvane/log/AppendOutcome.h"
#include "hemlockvane/log/Appender.h"
#include "hemlockvane/log/AppenderLimits.h"
#include "hemlockvane/log/AppenderState.h"
#include "hemlockvane/log/ApplySnapshotChunk.h"
#include "hemlockvane/log/Bootstrap.h"
#include "hemlockvane/log/BootstrapSource.h"
#include "hemlockvane/log/BootstrapView.h"
#include "hemlockvane/log/CachedRecords.h"
#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/Fold.h"
#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/log/OperationResult.h"
#include "hemlockvane/log/OperationWindow.h"
#include "hemlockvane/log/PendingAppend.h"
#include "hemlockvane/log/PendingOperation.h"
#include "hemlockvane/log/ReadSnapshot.h"
#include "hemlockvane/log/RecordCache.h"
#include "hemlockvane/log/Snapshot.h"
#include "hemlockvane/log/SnapshotLimits.h"
#include "hemlockvane/log/SnapshotNeed.h"
#include "hemlockvane/log/SnapshotPlan.h"
#include "hemlockvane/log/SnapshotProgress.h"
#include "hemlockvane/log/SnapshotReader.h"
#include "hemlockvane/log/SnapshotWriter.h"
#include "hemlockvane/log/WriteSnapshot.h"
