#include "Commands.h"

#include "LoadPlatformSettings.h"
#include "PlatformServer.h"
#include "PlatformSettings.h"

#include "hemlockvane/detail/logging/Log.h"

#include <cstdio>
#include <cstdlib>

auto runServePlatform(int argc, char** argv) -> int
{
    using namespace hemlockvane;
    constexpr int exitRefused = 1;
    const auto* fromEnvironment = std::getenv("HEMLOCKVANE_NODE_FILE");
    const std::string path = argc > 1 ? argv[1]
        : fromEnvironment != nullptr  ? fromEnvironment
                                      : "/etc/hemlockvane/node.conf";
    FailureReason reason;
    const auto settings = platform::loadPlatformSettings(path, reason);
    if (!settings) {
        std::fprintf(stderr, "%s\n", reason.m_text.c_str());
        return exitRefused;
    }
    detail::startBoundedLogging(settings->m_instance, "info");
    return platform::servePlatform(*settings);
}
