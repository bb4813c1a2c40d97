#include "hemlockvane/detail/text/JsonFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace hemlockvane::detail {

namespace json = boost::json;

namespace {

constexpr int hexBase = 16;
constexpr std::size_t escapeLength = 3;
constexpr unsigned char firstPrintable = 0x20;

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

// Appends the escape of a character that a JSON string cannot contain.
auto appendEscape(char character, std::string& json) -> void
{
    constexpr std::string_view escaped = "\"\\\b\f\n\r\t";
    constexpr std::string_view letters = "\"\\bfnrt";
    constexpr std::string_view digits = "0123456789abcdef";
    json.push_back('\\');
    if (const auto index = escaped.find(character); index != std::string_view::npos) {
        json.push_back(letters[index]);
        return;
    }
    const auto code = static_cast<unsigned char>(character);
    json.append("u00");
    json.push_back(digits[code / hexBase]);
    json.push_back(digits[code % hexBase]);
}

} // namespace

auto parseObject(std::string_view text, json::storage_ptr storage) -> std::optional<json::object>
{
    if (text.empty())
        return json::object {};
    json::error_code error;
    auto value = json::parse(text, error, std::move(storage));
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

auto appendQuoted(std::string_view text, std::string& json) -> void
{
    json.push_back('"');
    while (!text.empty()) {
        const auto plain = std::find_if(text.begin(), text.end(), [](char character) {
            return character == '"' || character == '\\' || static_cast<unsigned char>(character) < firstPrintable;
        });
        const auto length = static_cast<std::size_t>(plain - text.begin());
        json.append(text.substr(0, length));
        if (plain != text.end())
            appendEscape(*plain, json);
        text.remove_prefix(std::min(length + 1, text.size()));
    }
    json.push_back('"');
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
