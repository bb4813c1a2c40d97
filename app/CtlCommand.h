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

/// @brief One command of ctl and the request that it stands for.
struct CtlCommand {
    std::string_view m_name; ///< One or two words.
    std::string_view m_arguments; ///< For the usage text.
    std::size_t m_minimumArguments = 0; ///< Arguments needed.
    std::size_t m_maximumArguments = 0;
    bool m_needsVersion = false; ///< Compare-and-set against the configuration's version.
    detail::HttpRequest (*m_makeRequest)(const CtlOptions& options, CtlArguments arguments);
};

/// @brief All commands.
auto ctlCommands() -> std::span<const CtlCommand>;

/// @brief The command that the words begin with.
/// @result null when there is none
auto findCommand(CtlArguments words) -> const CtlCommand*;

} // namespace hemlockvane::app
