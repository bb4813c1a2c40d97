#pragma once

/// @brief Runs an entry instance until SIGTERM.
/// @result exit code
auto runServe(int argc, char** argv) -> int;

/// @brief Operators' command line.
/// @result 0 accepted, 1 refused, 2 usage, 3 not reachable
auto runCtl(int argc, char** argv) -> int;

/// @brief Callers' command line.
/// @result 0 answered, 1 refused, 2 usage, 3 not reachable
auto runSubmit(int argc, char** argv) -> int;

/// @brief Checks a settings file without starting.
/// @result 0 without problems, 1 with problems, 2 usage
auto runCheckSettings(int argc, char** argv) -> int;

/// @brief Runs an instance on the users' platform until SIGTERM.
/// @result exit code
auto runServePlatform(int argc, char** argv) -> int;
