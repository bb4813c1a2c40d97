#pragma once

namespace hemlockvane::app {

/// @brief Exit codes of the command line.
enum ExitCode : int {
    ExitAccepted = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitNotReachable = 3,
};

} // namespace hemlockvane::app
