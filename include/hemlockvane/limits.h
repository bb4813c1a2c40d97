#pragma once

/// @file
/// @brief The limits slice: divides permits of team limits and executor slots among entries. It does no I/O.
///
/// A resource with a capacity has that many permits. Each resource belongs to an escrow duty. The entry that holds the
/// duty grants permits to the member entries and recalls them; a member uses its permits without asking again. Grants
/// never raise the permits in hand above the capacity, even when messages are lost or another entry takes the duty.

#include "hemlockvane/limits/CapacityHistory.h"
#include "hemlockvane/limits/EscrowHolder.h"
#include "hemlockvane/limits/EscrowMember.h"
#include "hemlockvane/limits/EscrowMessage.h"
#include "hemlockvane/limits/EscrowResource.h"
#include "hemlockvane/limits/EscrowTiming.h"
