#include "hemlockvane/detail/text/JsonFields.h"

#include <boost/json.hpp>

#include <charconv>

namespace hemlockvane::detail {

namespace json = boost::json;

namespace {

constexpr int hexBase = 16;
constexpr std::size_t escapeLength = 3;

// Decodes percent-encoded characters; a malformed escape is kept as it is.
auto decodeSegment(std::string_view text) -> std::string
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const auto isEscape = text[i] == '%' && i + escapeLength <= text.size()
            && std::from_chars(&text[i] + 1, &text[i] + escapeLength, value, hexBase).ptr == &text[i] + escapeLength;
        decoded.push_back(isEscape ? static_cast<char>(value) : text[i]);
        i += isEscape ? escapeLength - 1 : 0;
    }
    return decoded;
}

} // namespace

auto parseObject(std::string_view text) -> std::optional<json::object>
{
    if (text.empty())
        return json::object {};
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

auto textOf(const json::object& object, std::string_view name) -> std::string
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

auto numberOf(const json::object& object, std::string_view name, std::int64_t fallback) -> std::int64_t
{
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_number())
        return fallback;
    json::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? fallback : number;
}

auto flagOf(const json::object& object, std::string_view name, bool fallback) -> bool
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

auto textsOf(const json::object& object, std::string_view name) -> std::vector<std::string>
{
    std::vector<std::string> texts;
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_array())
        return texts;
    for (const auto& element : value->as_array()) {
        if (element.is_string())
            texts.emplace_back(element.as_string());
    }
    return texts;
}

auto pathSegments(std::string_view target) -> std::vector<std::string>
{
    auto path = target.substr(0, target.find('?'));
    std::vector<std::string> segments;
    while (!path.empty()) {
        const auto slash = path.find('/');
        if (slash != 0)
            segments.push_back(decodeSegment(path.substr(0, slash)));
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    return segments;
}

} // namespace hemlockvane::detail
