#include "Commands.h"
#include "CtlCommand.h"
#include "ExitCode.h"
#include "FormatAnswer.h"
#include "ParseArguments.h"

#include "hemlockvane/detail/client/EntryClient.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>

namespace hemlockvane::app {

namespace {

constexpr std::chrono::milliseconds callTimeout { 30000 };
constexpr unsigned firstErrorStatus = 400;

auto environment(const char* name) -> std::string
{
    const auto* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

auto readOptions(int argc, char** argv) -> CtlOptions
{
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::int64_t>;
    TCLAP::CmdLine line("Operators' command line");
    Text address("", "address", "operators' address of any entry", false, "127.0.0.1:8081", "IP:port", line);
    Text key("", "key", "operators' key, else HEMLOCKVANE_OPERATOR_KEY", false, "", "KEY", line);
    Text author("", "author", "who makes the change, else USER", false, environment("USER"), "NAME", line);
    Text reason("", "reason", "why the change is made", false, "", "TEXT", line);
    Text secret("", "secret", "key to grant, else the entry makes one", false, "", "KEY", line);
    Text pools("", "pools", "pools of a wave, else all", false, "", "A,B", line);
    Number expires("", "expires-in", "life of an exception", false, 0, "SECONDS", line);
    Number finish("", "finish-in", "when a wave must have ended", false, 0, "SECONDS", line);
    Number version("", "expected-version", "version that the change is made from", false, -1, "VERSION", line);
    TCLAP::SwitchArg json("", "json", "print the answer as JSON", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "command and its arguments", true, "COMMAND", line);
    parseArguments(line, argc, argv);
    CtlOptions options { address.getValue(), key.getValue(), author.getValue(), reason.getValue(), secret.getValue(),
        pools.getValue(), expires.getValue(), finish.getValue(), std::nullopt, json.getValue(), words.getValue() };
    if (options.m_key.empty())
        options.m_key = environment("HEMLOCKVANE_OPERATOR_KEY");
    if (version.getValue() >= 0)
        options.m_expectedVersion = static_cast<std::uint64_t>(version.getValue());
    return options;
}

auto printUsage() -> int
{
    std::fputs("usage: hemlockvane ctl [--address IP:port] [--key KEY] [--author NAME] [--json] COMMAND\n", stderr);
    for (const auto& command : ctlCommands())
        std::fprintf(
            stderr, "  %-18s%s\n", std::string(command.m_name).c_str(), std::string(command.m_arguments).c_str());
    return ExitUsage;
}

auto printUnreachable(const CtlOptions& options, const FailureReason& reason) -> int
{
    const auto* const outcome = reason.m_kind == ErrorKind::AnswerLost
        ? "the answer was lost, so the outcome is unknown; read it back before trying again"
        : "nothing was sent";
    std::fprintf(stderr, "%s is not reachable (%s): %s\n", options.m_address.c_str(), outcome, reason.m_text.c_str());
    return ExitNotReachable;
}

auto call(const CtlOptions& options, detail::HttpRequest request, FailureReason& reason)
    -> std::optional<detail::HttpResponse>
{
    request.m_headers.push_back({ "Authorization", "Bearer " + options.m_key });
    return detail::callEntry(options.m_address, request, callTimeout, reason);
}

auto printAnswer(const CtlOptions& options, const detail::HttpResponse& response) -> int
{
    const auto isError = response.m_status >= firstErrorStatus;
    const auto body = detail::parseObject(response.m_body);
    const auto refusal = detail::readRefusal(response);
    if (options.m_isJson || !body)
        std::fputs(response.m_body.c_str(), stdout);
    else if (refusal)
        std::fputs(formatRefusal(*refusal).c_str(), stderr);
    else
        std::fputs(formatAnswer(*body).c_str(), stdout);
    return isError ? ExitRefused : ExitAccepted;
}

// The version that a change is compared with is the one in force when the command began.
auto fillVersion(CtlOptions& options, FailureReason& reason) -> std::optional<detail::HttpResponse>
{
    auto response = call(options, { "GET", "/v1/configuration", {}, {} }, reason);
    const auto body = response ? detail::parseObject(response->m_body) : std::nullopt;
    if (body && response->m_status < firstErrorStatus)
        options.m_expectedVersion = static_cast<std::uint64_t>(detail::numberOf(*body, "version", 0));
    return response;
}

auto runCommand(CtlOptions options, const CtlCommand& command, CtlArguments arguments) -> int
{
    FailureReason reason;
    if (command.m_needsVersion && !options.m_expectedVersion) {
        const auto response = fillVersion(options, reason);
        if (!response)
            return printUnreachable(options, reason);
        if (!options.m_expectedVersion)
            return printAnswer(options, *response);
    }
    const auto response = call(options, command.m_makeRequest(options, arguments), reason);
    return response ? printAnswer(options, *response) : printUnreachable(options, reason);
}

} // namespace

} // namespace hemlockvane::app

auto runCtl(int argc, char** argv) -> int
{
    using namespace hemlockvane::app;
    if (argc < 2)
        return printUsage();
    const auto options = readOptions(argc, argv);
    const CtlArguments words = options.m_words;
    const auto* const command = findCommand(words);
    if (command == nullptr)
        return printUsage();
    const auto isTwoWords = command->m_name.find(' ') != std::string_view::npos;
    const auto arguments = words.subspan(isTwoWords ? 2 : 1);
    if (arguments.size() < command->m_minimumArguments || arguments.size() > command->m_maximumArguments)
        return printUsage();
    return runCommand(options, *command, arguments);
}
