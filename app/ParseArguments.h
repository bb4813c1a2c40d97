#pragma once

#include <tclap/CmdLine.h>

namespace hemlockvane::app {

/// @brief Parses the command line; ends the process after --help with 0, after a wrong argument with ExitUsage.
auto parseArguments(TCLAP::CmdLine& line, int argc, char** argv) -> void;

} // namespace hemlockvane::app
