#include "hemlockvane/detail/settings/LoadServeSettings.h"

#include "hemlockvane/detail/net/Address.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace hemlockvane::detail {

namespace {

// A setting that the file may contain.
struct Field {
    std::string m_name;
    bool m_isRequired = false;
    std::string m_expected; // Description of the accepted values, for problems.
    std::function<bool(const std::string& text, ServeSettings& settings)> m_store; // False when the text is invalid.
};

// A value of the file, with the line of its key.
struct Value {
    std::string m_text;
    std::size_t m_line = 0;
    bool m_isScalar = true;
};

using Values = std::map<std::string, Value>;

auto parseInteger(const std::string& text) -> std::optional<std::int64_t>
{
    std::int64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

auto isName(const std::string& text) -> bool
{
    constexpr std::size_t maximumLength = 64;
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= maximumLength && std::all_of(text.begin(), text.end(), isAllowed);
}

auto isHash(const std::string& text) -> bool
{
    constexpr std::size_t digits = 64;
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digits && std::all_of(text.begin(), text.end(), isDigit);
}

auto isAddress(const std::string& text, bool allowsPortZero) -> bool
{
    FailureReason reason;
    const auto endpoint = parseAddress(text, reason);
    return endpoint && (allowsPortZero || endpoint->port() != 0);
}

auto nameField(std::string name, std::string ServeSettings::*member) -> Field
{
    return { std::move(name), true, "a name of 1 to 64 letters, digits, '-' or '_'",
        [member](const std::string& text, ServeSettings& settings) {
            settings.*member = text;
            return isName(text);
        } };
}

auto addressField(std::string name, std::string ServeSettings::*member, bool allowsPortZero) -> Field
{
    const auto* expected = allowsPortZero ? "IP:port, for example 127.0.0.1:8080 (port 0 selects a free port)"
                                          : "IP:port, for example 127.0.0.1:8080";
    return { std::move(name), true, expected, [=](const std::string& text, ServeSettings& settings) {
                settings.*member = text;
                return isAddress(text, allowsPortZero);
            } };
}

auto peersField() -> Field
{
    return { "peers.listen", true, "tcp://IP:port, for example tcp://127.0.0.1:7001 (port 0 selects a free port)",
        [](const std::string& text, ServeSettings& settings) {
            constexpr std::string_view scheme = "tcp://";
            settings.m_peersListen = text;
            return text.starts_with(scheme) && isAddress(text.substr(scheme.size()), true);
        } };
}

auto hashField() -> Field
{
    return { "operators.key_hash", true,
        "the SHA-256 of the operators' key as 64 lower case hexadecimal digits, in quotes",
        [](const std::string& text, ServeSettings& settings) {
            settings.m_operatorKeyHash = text;
            return isHash(text);
        } };
}

auto numberField(std::string name, const char* unit, std::int64_t minimum, std::int64_t maximum,
    std::function<void(std::int64_t, ServeSettings&)> store) -> Field
{
    auto expected
        = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum) + " (" + unit + ")";
    return { std::move(name), false, std::move(expected),
        [minimum, maximum, store = std::move(store)](const std::string& text, ServeSettings& settings) {
            const auto number = parseInteger(text);
            if (!number || *number < minimum || *number > maximum)
                return false;
            store(*number, settings);
            return true;
        } };
}

auto timingField(std::string name, std::int64_t minimum, std::int64_t maximum, Duration ServeSettings::*member) -> Field
{
    return numberField(std::move(name), "milliseconds", minimum, maximum,
        [member](std::int64_t number, ServeSettings& settings) { settings.*member = Duration(number); });
}

auto sizeField(std::string name, const char* unit, std::int64_t minimum, std::int64_t maximum,
    std::size_t HttpLimits::*member) -> Field
{
    return numberField(std::move(name), unit, minimum, maximum, [member](std::int64_t number, ServeSettings& settings) {
        settings.m_limits.*member = static_cast<std::size_t>(number);
    });
}

auto timeoutField(std::string name, std::chrono::milliseconds HttpLimits::*member) -> Field
{
    constexpr std::int64_t minimumMs = 10;
    constexpr std::int64_t maximumMs = 600000;
    return numberField(
        std::move(name), "milliseconds", minimumMs, maximumMs, [member](std::int64_t number, ServeSettings& settings) {
            settings.m_limits.*member = std::chrono::milliseconds(number);
        });
}

auto fields() -> const std::vector<Field>&
{
    static const std::vector<Field> all {
        nameField("instance", &ServeSettings::m_instance),
        nameField("zone", &ServeSettings::m_zone),
        nameField("region", &ServeSettings::m_region),
        addressField("traffic.listen", &ServeSettings::m_trafficListen, true),
        addressField("operators.listen", &ServeSettings::m_operatorsListen, true),
        hashField(),
        peersField(),
        addressField("log.address", &ServeSettings::m_logAddress, false),
        addressField("instances.address", &ServeSettings::m_instancesAddress, false),
        timingField("timing.vouch_ms", 100, 60000, &ServeSettings::m_vouch),
        timingField("timing.drift_ms", 0, 10000, &ServeSettings::m_maximumClockDrift),
        timingField("timing.list_lag_ms", 0, 600000, &ServeSettings::m_listLag),
        timingField("timing.beat_ms", 10, 10000, &ServeSettings::m_heartbeatInterval),
        sizeField("limits.connections", "connections", 1, 100000, &HttpLimits::m_maximumConnections),
        sizeField("limits.header_bytes", "bytes", 1024, 1048576, &HttpLimits::m_maximumHeaderBytes),
        sizeField("limits.body_bytes", "bytes", 1024, 67108864, &HttpLimits::m_maximumBodyBytes),
        sizeField("limits.memory_bytes", "bytes", 8388608, 17179869184, &HttpLimits::m_maximumMemoryBytes),
        timeoutField("limits.read_timeout_ms", &HttpLimits::m_readTimeout),
        timeoutField("limits.idle_timeout_ms", &HttpLimits::m_idleTimeout),
        timeoutField("limits.write_timeout_ms", &HttpLimits::m_writeTimeout),
    };
    return all;
}

auto lineOf(const YAML::Mark& mark) -> std::size_t { return static_cast<std::size_t>(mark.line) + 1; }

auto isSection(const std::string& name) -> bool
{
    const auto prefix = name + ".";
    return std::any_of(
        fields().begin(), fields().end(), [&](const auto& field) { return field.m_name.starts_with(prefix); });
}

auto isField(const std::string& name) -> bool
{
    return std::any_of(fields().begin(), fields().end(), [&](const auto& field) { return field.m_name == name; });
}

// Names of the settings in a section, or of all sections and top-level settings when `section` is empty.
auto namesIn(const std::string& section) -> std::string
{
    std::string names;
    for (const auto& field : fields()) {
        const auto dot = field.m_name.find('.');
        const auto isInSection = section.empty() || field.m_name.starts_with(section + ".");
        const auto name = section.empty() ? field.m_name.substr(0, dot) : field.m_name.substr(dot + 1);
        if (isInSection && names.find(name) == std::string::npos)
            names += (names.empty() ? "" : ", ") + name;
    }
    return names;
}

auto collect(const YAML::Node& map, const std::string& section, Values& values, std::vector<SettingsProblem>& problems)
    -> void;

auto collectEntry(const std::string& section, const YAML::Node& key, const YAML::Node& node, Values& values,
    std::vector<SettingsProblem>& problems) -> void
{
    const auto name = (section.empty() ? "" : section + ".") + key.Scalar();
    const auto line = lineOf(key.Mark());
    if (section.empty() && isSection(name)) {
        values[name] = { "", line, false };
        if (node.IsMap())
            collect(node, name, values, problems);
        else
            problems.push_back({ line, name, node.IsScalar() ? node.Scalar() : "", "settings: " + namesIn(name) });
    } else if (!isField(name)) {
        problems.push_back({ line, name, "unknown setting", "one of " + namesIn(section) });
    } else if (values.contains(name)) {
        problems.push_back({ line, name, "second value", "each setting once" });
    } else {
        values[name] = { node.IsScalar() ? node.Scalar() : "", line, node.IsScalar() };
    }
}

auto collect(const YAML::Node& map, const std::string& section, Values& values, std::vector<SettingsProblem>& problems)
    -> void
{
    for (const auto& entry : map)
        collectEntry(section, entry.first, entry.second, values, problems);
}

// Line at which a missing setting is reported: that of its section, or the first line of the file.
auto lineOfMissing(const Values& values, const std::string& name) -> std::size_t
{
    const auto section = values.find(name.substr(0, name.find('.')));
    return section == values.end() ? 1 : section->second.m_line;
}

auto storeFields(const Values& values, ServeSettings& settings, std::vector<SettingsProblem>& problems) -> void
{
    for (const auto& field : fields()) {
        const auto value = values.find(field.m_name);
        if (value == values.end()) {
            if (field.m_isRequired)
                problems.push_back({ lineOfMissing(values, field.m_name), field.m_name, "", field.m_expected });
            continue;
        }
        const auto& [text, line, isScalar] = value->second;
        if (!isScalar || !field.m_store(text, settings))
            problems.push_back({ line, field.m_name, isScalar ? text : "a list or a section", field.m_expected });
    }
}

// Requires at least three heartbeats within the vouching time, so that a vouch can be renewed before it expires.
auto checkTiming(const ServeSettings& settings, const Values& values, std::vector<SettingsProblem>& problems) -> void
{
    constexpr int minimumBeatsPerVouch = 3;
    if (settings.m_heartbeatInterval * minimumBeatsPerVouch <= settings.m_vouch)
        return;
    const auto beat = values.find("timing.beat_ms");
    const auto line = beat == values.end() ? lineOfMissing(values, "timing") : beat->second.m_line;
    const auto maximum = std::to_string((settings.m_vouch / minimumBeatsPerVouch).count());
    problems.push_back({ line, "timing.beat_ms", std::to_string(settings.m_heartbeatInterval.count()),
        "at most a third of timing.vouch_ms, which is " + maximum });
}

// A single body within its limit must be served, whatever else arrives.
auto checkMemory(const ServeSettings& settings, const Values& values, std::vector<SettingsProblem>& problems) -> void
{
    constexpr std::size_t bodies = 2;
    const auto& limits = settings.m_limits;
    if (limits.m_maximumMemoryBytes >= bodies * limits.m_maximumBodyBytes)
        return;
    const auto memory = values.find("limits.memory_bytes");
    const auto line = memory == values.end() ? lineOfMissing(values, "limits") : memory->second.m_line;
    problems.push_back({ line, "limits.memory_bytes", std::to_string(limits.m_maximumMemoryBytes),
        "at least twice limits.body_bytes, which is " + std::to_string(limits.m_maximumBodyBytes) });
}

auto parseYaml(const std::string& text, std::vector<SettingsProblem>& problems) -> std::optional<YAML::Node>
{
    try {
        auto root = YAML::Load(text);
        if (root.IsMap())
            return root;
        problems.push_back({ 1, "", "no settings", "settings: " + namesIn("") });
    } catch (const YAML::Exception& exception) {
        problems.push_back({ lineOf(exception.mark), "", exception.msg, "YAML" });
    }
    return std::nullopt;
}

} // namespace

auto describe(const SettingsProblem& problem, const std::string& file) -> std::string
{
    auto text = file + (problem.m_line > 0 ? ":" + std::to_string(problem.m_line) : "") + ": ";
    if (!problem.m_setting.empty())
        text += problem.m_setting + ": ";
    text += problem.m_found.empty() ? "missing" : "found '" + problem.m_found + "'";
    return text + ", expected " + problem.m_expected;
}

auto parseServeSettings(const std::string& text, std::vector<SettingsProblem>& problems) -> std::optional<ServeSettings>
{
    problems.clear();
    const auto root = parseYaml(text, problems);
    if (!root)
        return std::nullopt;
    Values values;
    ServeSettings settings;
    collect(*root, "", values, problems);
    storeFields(values, settings, problems);
    checkTiming(settings, values, problems);
    checkMemory(settings, values, problems);
    std::stable_sort(problems.begin(), problems.end(),
        [](const auto& left, const auto& right) { return left.m_line < right.m_line; });
    if (!problems.empty())
        return std::nullopt;
    return settings;
}

auto loadServeSettings(std::string_view path, std::vector<SettingsProblem>& problems) -> std::optional<ServeSettings>
{
    std::ifstream file { std::string(path) };
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        problems.assign(1, { 0, "", "a file that cannot be read", "a settings file" });
        return std::nullopt;
    }
    return parseServeSettings(text.str(), problems);
}

} // namespace hemlockvane::detail
