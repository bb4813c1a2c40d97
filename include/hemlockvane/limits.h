#pragma once

/// @file
/// @brief The limits slice: permits of team limits and executor slots, held in escrow, without sockets.

#include "hemlockvane/limits/CapacityHistory.h"
#include "hemlockvane/limits/EscrowHolder.h"
#include "hemlockvane/limits/EscrowMember.h"
#include "hemlockvane/limits/EscrowMessage.h"
#include "hemlockvane/limits/EscrowResource.h"
#include "hemlockvane/limits/EscrowTiming.h"
