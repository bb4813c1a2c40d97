#include "Commands.h"

#include "LoadPlatformSettings.h"
#include "PlatformServer.h"
#include "PlatformSettings.h"

#include "hemlockvane/detail/logging/Log.h"

#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <span>
#include <string>
#include <string_view>

auto runServePlatform(int argc, char** argv) -> int
{
    using namespace hemlockvane;
    constexpr int exitRefused = 1;
    const auto* fromEnvironment = std::getenv("HEMLOCKVANE_NODE_FILE");
    std::string path = fromEnvironment != nullptr ? fromEnvironment : "/etc/hemlockvane/node.conf";
    auto sharesPools = false;
    auto separatesInterference = true;
    for (const std::string_view argument : std::span(argv, static_cast<std::size_t>(argc)).subspan(1)) {
        if (argument == "--share-pools")
            sharesPools = true;
        else if (argument == "--ignore-interference")
            separatesInterference = false;
        else
            path = argument;
    }
    FailureReason reason;
    auto settings = platform::loadPlatformSettings(path, reason);
    if (!settings) {
        std::fprintf(stderr, "%s\n", reason.m_text.c_str());
        return exitRefused;
    }
    settings->m_sharesPools = sharesPools;
    settings->m_separatesInterference = separatesInterference;
    detail::startBoundedLogging(settings->m_instance, "info");
    return platform::servePlatform(*settings);
}
