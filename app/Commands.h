#pragma once

/// @brief Runs an entry instance until SIGTERM or SIGINT.
/// @result exit code: 0 after a planned stop, 1 on error, 2 usage error
auto runServe(int argc, char** argv) -> int;

/// @brief Operators' command line: sends one command to an entry and prints the response.
/// @result exit code: 0 accepted, 1 refused, 2 usage error, 3 entry not reachable
auto runCtl(int argc, char** argv) -> int;

/// @brief Callers' command line: sends requests and jobs to the entries and prints the response.
/// @result exit code: 0 answered, 1 refused, 2 usage error, 3 no entry reachable
auto runSubmit(int argc, char** argv) -> int;

/// @brief Checks a settings file without starting an instance.
/// @result exit code: 0 without problems, 1 with problems, 2 usage error
auto runCheckSettings(int argc, char** argv) -> int;

/// @brief Runs an instance on the users' platform until SIGTERM or SIGINT.
/// @result exit code: 0 after a planned stop, 1 on error
auto runServePlatform(int argc, char** argv) -> int;
