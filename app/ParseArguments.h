#pragma once

#include <tclap/CmdLine.h>

namespace hemlockvane::app {

/// @brief Parses the command line.
///
/// Exits the process with 0 after --help and with ExitUsage after an invalid argument.
auto parseArguments(TCLAP::CmdLine& line, int argc, char** argv) -> void;

} // namespace hemlockvane::app
