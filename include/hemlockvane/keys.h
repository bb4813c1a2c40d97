#pragma once

/// @file
/// @brief The keys slice: its state, records and decisions, without sockets.

#include "hemlockvane/keys/ApplyKeys.h"
#include "hemlockvane/keys/KeyRecord.h"
#include "hemlockvane/keys/KeyState.h"
