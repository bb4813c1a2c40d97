#include "CtlCommand.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace hemlockvane::app {

namespace json = boost::json;
using detail::HttpRequest;

namespace {

// Percent-encodes a segment of a path.
auto encodeSegment(std::string_view text) -> std::string
{
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~";
    constexpr const char* digits = "0123456789ABCDEF";
    std::string encoded;
    for (const auto c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (unreserved.find(c) != std::string_view::npos)
            encoded.push_back(c);
        else
            encoded += { '%', digits[byte >> 4], digits[byte & 0x0f] };
    }
    return encoded;
}

// Wall clock time in milliseconds that is `seconds` from now; 0 means "never" and stays 0.
auto wallTimeIn(std::int64_t seconds) -> std::int64_t
{
    if (seconds == 0)
        return 0;
    const auto time = std::chrono::system_clock::now() + std::chrono::seconds(seconds);
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

auto read(std::string target) -> HttpRequest { return { "GET", std::move(target), {}, {} }; }

auto change(std::string method, std::string target, const CtlOptions& options, json::object body) -> HttpRequest
{
    body["author"] = options.m_author;
    body["reason"] = options.m_reason;
    if (options.m_expectedVersion)
        body["expected_version"] = *options.m_expectedVersion;
    return { std::move(method), std::move(target), { { "Content-Type", "application/json" } }, json::serialize(body) };
}

// The word "built-in" selects the setting's built-in value, which the interface takes as an empty text.
auto valueText(const std::string& word) -> std::string { return word == "built-in" ? "" : word; }

// The word as a JSON integer; a word that is not one stays a text, so that the entry refuses it.
auto integerOrText(const std::string& word) -> json::value
{
    std::int64_t number = 0;
    const auto* const end = word.data() + word.size();
    const auto parsed = std::from_chars(word.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return json::value(word);
    return number;
}

auto exceptionTarget(CtlArguments arguments) -> std::string
{
    return "/v1/configuration/exceptions/" + encodeSegment(arguments[0]) + "/" + encodeSegment(arguments[1]);
}

auto state(const CtlOptions&, CtlArguments) -> HttpRequest { return read("/v1/state"); }
auto settings(const CtlOptions&, CtlArguments) -> HttpRequest { return read("/v1/configuration"); }
auto history(const CtlOptions&, CtlArguments) -> HttpRequest { return read("/v1/configuration/history"); }
auto keys(const CtlOptions&, CtlArguments) -> HttpRequest { return read("/v1/keys"); }
auto instances(const CtlOptions&, CtlArguments) -> HttpRequest { return read("/v1/instances"); }
auto pools(const CtlOptions&, CtlArguments) -> HttpRequest { return read("/v1/pools"); }
auto waves(const CtlOptions&, CtlArguments) -> HttpRequest { return read("/v1/waves"); }

auto setDefault(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    return change("PUT", "/v1/configuration/defaults/" + encodeSegment(arguments[0]), options,
        { { "value", valueText(arguments[1]) } });
}

auto setException(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    return change("PUT", exceptionTarget(arguments), options,
        { { "value", arguments[2] }, { "expires_at_ms", wallTimeIn(options.m_expiresInSeconds) } });
}

auto removeException(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    return change("DELETE", exceptionTarget(arguments), options, {});
}

// An evacuation is an exception, so that it has a reason, an author and, if wanted, an end.
auto evacuate(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    const std::string words[] = { "zone.evacuated", arguments[0], "1" };
    return setException(options, words);
}

auto restore(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    const std::string words[] = { "zone.evacuated", arguments[0] };
    return removeException(options, words);
}

auto preview(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    const auto scope = arguments.size() > 2 ? arguments[2] : "";
    return change("POST", "/v1/configuration/preview", options,
        { { "setting", arguments[0] }, { "value", valueText(arguments[1]) }, { "scope", scope } });
}

auto grant(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    json::object body { { "key_id", arguments[0] }, { "team", arguments[1] } };
    if (!options.m_secret.empty())
        body["key"] = options.m_secret;
    return change("POST", "/v1/keys", options, std::move(body));
}

auto withdraw(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    return change("DELETE", "/v1/keys/" + encodeSegment(arguments[0]), options, {});
}

auto addInstance(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    const auto accelerators = arguments.size() > 6 ? integerOrText(arguments[6]) : json::value(0);
    return change("POST", "/v1/instances", options,
        { { "instance", arguments[0] }, { "pool", arguments[1] }, { "zone", arguments[2] }, { "rack", arguments[3] },
            { "cores", integerOrText(arguments[4]) }, { "memory_mb", integerOrText(arguments[5]) },
            { "accelerators", accelerators } });
}

auto move(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    return change("POST", "/v1/instances/" + encodeSegment(arguments[0]) + "/move", options,
        { { "from", arguments[1] }, { "to", arguments[2] } });
}

auto startWave(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    json::array chosen;
    std::string_view rest = options.m_pools;
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        chosen.emplace_back(rest.substr(0, comma));
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return change("POST", "/v1/waves", options,
        { { "wave", arguments[0] }, { "pools", std::move(chosen) },
            { "finish_by_ms", wallTimeIn(options.m_finishInSeconds) } });
}

auto pauseWave(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    return change("POST", "/v1/waves/" + encodeSegment(arguments[0]) + "/pause", options, {});
}

auto resumeWave(const CtlOptions& options, CtlArguments arguments) -> HttpRequest
{
    return change("POST", "/v1/waves/" + encodeSegment(arguments[0]) + "/resume", options, {});
}

constexpr CtlCommand commands[] = {
    { "state", "", 0, 0, false, state },
    { "settings", "", 0, 0, false, settings },
    { "default", "SETTING VALUE|built-in", 2, 2, true, setDefault },
    { "exception", "SETTING SCOPE VALUE --reason TEXT [--expires-in SECONDS]", 3, 3, true, setException },
    { "remove-exception", "SETTING SCOPE", 2, 2, true, removeException },
    { "evacuate", "ZONE --reason TEXT [--expires-in SECONDS]", 1, 1, true, evacuate },
    { "restore", "ZONE", 1, 1, true, restore },
    { "history", "", 0, 0, false, history },
    { "preview", "SETTING VALUE [SCOPE]", 2, 3, false, preview },
    { "grant", "KEY-ID TEAM [--secret KEY]", 2, 2, false, grant },
    { "withdraw", "KEY-ID --reason TEXT", 1, 1, false, withdraw },
    { "keys", "", 0, 0, false, keys },
    { "instances", "", 0, 0, false, instances },
    { "add-instance", "INSTANCE POOL ZONE RACK CORES MEMORY-MB [ACCELERATORS]", 6, 7, false, addInstance },
    { "move", "INSTANCE FROM-POOL TO-POOL --reason TEXT", 3, 3, false, move },
    { "pools", "", 0, 0, false, pools },
    { "wave start", "WAVE [--pools A,B] [--finish-in SECONDS] --reason TEXT", 1, 1, false, startWave },
    { "wave pause", "WAVE --reason TEXT", 1, 1, false, pauseWave },
    { "wave resume", "WAVE --reason TEXT", 1, 1, false, resumeWave },
    { "wave list", "", 0, 0, false, waves },
};

} // namespace

auto ctlCommands() -> std::span<const CtlCommand> { return commands; }

auto findCommand(CtlArguments words) -> const CtlCommand*
{
    const auto first = words.empty() ? std::string() : words[0];
    const auto firstTwo = words.size() > 1 ? first + " " + words[1] : first;
    const auto* const found = std::find_if(std::begin(commands), std::end(commands),
        [&](const auto& command) { return command.m_name == first || command.m_name == firstTwo; });
    return found == std::end(commands) ? nullptr : found;
}

} // namespace hemlockvane::app
