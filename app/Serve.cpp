#include "Commands.h"

#include "hemlockvane/detail/server/EntryServer.h"
#include "hemlockvane/detail/settings/LoadServeSettings.h"

#include <tclap/CmdLine.h>

#include <cstdio>

auto runServe(int argc, char** argv) -> int
{
    using namespace hemlockvane::detail;
    constexpr int usageError = 2;
    std::string path;
    std::string level;
    try {
        TCLAP::CmdLine command("Runs an entry instance until SIGTERM.", ' ', "0.1.0");
        const TCLAP::ValueArg<std::string> settings("", "settings", "settings file", true, "", "FILE", command);
        const TCLAP::ValueArg<std::string> logLevel(
            "", "log-level", "trace, debug, info, warning or error", false, "info", "LEVEL", command);
        command.parse(argc, argv);
        path = settings.getValue();
        level = logLevel.getValue();
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? 0 : usageError;
    }
    std::vector<SettingsProblem> problems;
    const auto settings = loadServeSettings(path, problems);
    for (const auto& problem : problems)
        std::fprintf(stderr, "%s\n", describe(problem, path).c_str());
    if (!settings)
        return 1;
    return serveEntry(*settings, level);
}
