#include "ParseArguments.h"

#include "ExitCode.h"

#include <cstdio>
#include <cstdlib>

namespace hemlockvane::app {

auto parseArguments(TCLAP::CmdLine& line, int argc, char** argv) -> void
{
    line.setExceptionHandling(false);
    try {
        line.parse(argc, argv);
    } catch (const TCLAP::ExitException& exit) {
        std::exit(exit.getExitStatus());
    } catch (const TCLAP::ArgException& exception) {
        std::fprintf(stderr, "%s %s\n", exception.error().c_str(), exception.argId().c_str());
        std::exit(ExitUsage);
    }
}

} // namespace hemlockvane::app
