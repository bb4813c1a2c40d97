#pragma once

/// @file
/// @brief The membership slice: its state, records and decisions, without sockets.

#include "hemlockvane/membership/ApplyMembership.h"
#include "hemlockvane/membership/DutyRecord.h"
#include "hemlockvane/membership/EntryRecord.h"
#include "hemlockvane/membership/MembershipState.h"
