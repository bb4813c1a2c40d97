#pragma once

#include <string_view>

namespace hemlockvane::detail {

struct ServeSettings;

/// @brief Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully; SIGHUP changes nothing.
/// @param logLevel name of a spdlog level, for example "info"
/// @result exit code: 0 after a planned stop, 1 when a socket could not be opened
auto serveEntry(const ServeSettings& settings, std::string_view logLevel) -> int;

} // namespace hemlockvane::detail
