#pragma once

namespace hemlockvane::detail {

/// @brief Runs the main function of a program and prints an exception that escapes it to standard error.
/// @param body main function; returns the exit code
/// @result the exit code of `body`, 1 after an exception
auto runMain(int argc, char** argv, int (*body)(int, char**)) noexcept -> int;

} // namespace hemlockvane::detail
