#include "Commands.h"

#include "LoadPlatformSettings.h"
#include "PlatformServer.h"
#include "PlatformSettings.h"

#include "hemlockvane/detail/logging/Log.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

auto runServePlatform(int argc, char** argv) -> int
{
    using namespace hemlockvane;
    constexpr int exitRefused = 1;
    constexpr std::string_view ignoreInterference = "--ignore-interference";
    const auto isIgnored = argc > 1 && argv[1] == ignoreInterference;
    const auto* fromArguments = argc > (isIgnored ? 2 : 1) ? argv[argc - 1] : nullptr;
    const auto* fromEnvironment = std::getenv("HEMLOCKVANE_NODE_FILE");
    const std::string path = fromArguments != nullptr ? fromArguments
        : fromEnvironment != nullptr                  ? fromEnvironment
                                                      : "/etc/hemlockvane/node.conf";
    FailureReason reason;
    auto settings = platform::loadPlatformSettings(path, reason);
    if (!settings) {
        std::fprintf(stderr, "%s\n", reason.m_text.c_str());
        return exitRefused;
    }
    settings->m_separatesInterference = !isIgnored;
    detail::startBoundedLogging(settings->m_instance, "info");
    return platform::servePlatform(*settings);
}
