#pragma once

/// @file
/// @brief Errors: the closed list of kinds, the reason of the last failure, the answer to each kind.

#include "hemlockvane/errors/ErrorAnswer.h"
#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/errors/FailureReason.h"
