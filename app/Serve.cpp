#include "Commands.h"
#include "ParseArguments.h"

#include "hemlockvane/detail/server/EntryServer.h"
#include "hemlockvane/detail/settings/LoadServeSettings.h"

#include <tclap/CmdLine.h>

#include <cstdio>

auto runServe(int argc, char** argv) -> int
{
    using namespace hemlockvane::detail;
    constexpr int exitRefused = 1;
    std::vector<std::string> levels { "trace", "debug", "info", "warning", "error" };
    TCLAP::ValuesConstraint<std::string> isLevel(levels);
    TCLAP::CmdLine line("Runs an entry instance until SIGTERM.", ' ', "0.1.0");
    const TCLAP::ValueArg<std::string> file("", "settings", "settings file", true, "", "FILE", line);
    const TCLAP::ValueArg<std::string> level("", "log-level", "lowest level logged", false, "info", &isLevel, line);
    hemlockvane::app::parseArguments(line, argc, argv);
    std::vector<SettingsProblem> problems;
    const auto settings = loadServeSettings(file.getValue(), problems);
    for (const auto& problem : problems)
        std::fprintf(stderr, "%s\n", describe(problem, file.getValue()).c_str());
    return settings ? serveEntry(*settings, level.getValue()) : exitRefused;
}
