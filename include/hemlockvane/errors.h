#pragma once

/// @file
/// @brief Errors: all kinds of errors, the reason of a failed call, the answer to a caller for each kind.

#include "hemlockvane/errors/ErrorAnswer.h"
#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/errors/FailureReason.h"
