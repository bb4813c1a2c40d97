#pragma once

#include "CtlOptions.h"

#include "hemlockvane/detail/http/HttpRequest.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace hemlockvane::app {

/// @brief Arguments of a command, without the words that name it.
using CtlArguments = std::span<const std::string>;

/// @brief One command of ctl and the HTTP request that it sends.
struct CtlCommand {
    std::string_view m_name; ///< One or two words.
    std::string_view m_arguments; ///< Arguments as shown in the usage text.
    std::size_t m_minimumArguments = 0;
    std::size_t m_maximumArguments = 0;
    bool m_needsVersion = false; ///< The change applies only if the configuration still has the expected version.
    detail::HttpRequest (*m_makeRequest)(const CtlOptions& options, CtlArguments arguments);
};

/// @brief All commands.
auto ctlCommands() -> std::span<const CtlCommand>;

/// @brief Finds the command that the words begin with.
/// @result null when there is no such command
auto findCommand(CtlArguments words) -> const CtlCommand*;

} // namespace hemlockvane::app
