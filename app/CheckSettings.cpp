#include "Commands.h"

#include "hemlockvane/detail/settings/LoadServeSettings.h"

#include <cstdio>

namespace {

constexpr int exitAccepted = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;

} // namespace

auto runCheckSettings(int argc, char** argv) -> int
{
    using namespace hemlockvane::detail;
    if (argc != 2) {
        std::fputs("usage: hemlockvane check-settings FILE\n", stderr);
        return exitUsage;
    }
    const std::string file = argv[1];
    std::vector<SettingsProblem> problems;
    if (loadServeSettings(file, problems)) {
        std::printf("%s: no problems\n", file.c_str());
        return exitAccepted;
    }
    for (const auto& problem : problems)
        std::printf("%s\n", describe(problem, file).c_str());
    return exitRefused;
}
