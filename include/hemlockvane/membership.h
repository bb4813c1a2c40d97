#pragma once

/// @file
/// @brief The membership slice: which entries are members and hold which duties, and whether an entry's folded state is
/// current enough to act on (its vouch). It does no I/O.

#include "hemlockvane/membership/ApplyMembership.h"
#include "hemlockvane/membership/Duties.h"
#include "hemlockvane/membership/DutyCounts.h"
#include "hemlockvane/membership/DutyRecord.h"
#include "hemlockvane/membership/EntryRecord.h"
#include "hemlockvane/membership/InstanceListView.h"
#include "hemlockvane/membership/ListedStatus.h"
#include "hemlockvane/membership/MembershipAction.h"
#include "hemlockvane/membership/MembershipPlan.h"
#include "hemlockvane/membership/MembershipState.h"
#include "hemlockvane/membership/PeerReport.h"
#include "hemlockvane/membership/PlannerLimits.h"
#include "hemlockvane/membership/PlannerState.h"
#include "hemlockvane/membership/Vouch.h"
#include "hemlockvane/membership/VouchLimits.h"
#include "hemlockvane/membership/VouchState.h"
