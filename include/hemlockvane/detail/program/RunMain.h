#pragma once

namespace hemlockvane::detail {

/// @brief Runs a program's body; an exception that escapes it is printed.
/// @result the body's exit code, 1 after an exception
auto runMain(int argc, char** argv, int (*body)(int, char**)) noexcept -> int;

} // namespace hemlockvane::detail
