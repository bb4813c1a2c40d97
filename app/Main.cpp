#include "Commands.h"

#include "hemlockvane/detail/program/RunMain.h"

#include <cstdio>
#include <string_view>

namespace {

constexpr int exitUsage = 2;

struct Command {
    std::string_view m_name;
    int (*m_run)(int argc, char** argv);
};

constexpr Command commands[] = {
    { "check-settings", runCheckSettings },
    { "serve", runServe },
    { "serve-platform", runServePlatform },
    { "ctl", runCtl },
    { "submit", runSubmit },
};

auto runCommand(int argc, char** argv) -> int
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    for (const auto& command : commands) {
        if (command.m_name == name)
            return command.m_run(argc - 1, argv + 1);
    }
    std::fputs("usage: hemlockvane serve --settings FILE\n"
               "       hemlockvane serve-platform [FILE]\n"
               "       hemlockvane check-settings FILE\n"
               "       hemlockvane ctl [OPTIONS] COMMAND ...\n"
               "       hemlockvane submit [OPTIONS] COMMAND ...\n",
        stderr);
    return exitUsage;
}

} // namespace

auto main(int argc, char** argv) -> int { return hemlockvane::detail::runMain(argc, argv, runCommand); }
