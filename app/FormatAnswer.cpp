#include "FormatAnswer.h"

#include "hemlockvane/errors/ErrorAnswer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ctime>
#include <vector>

namespace hemlockvane::app {

namespace json = boost::json;

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr std::size_t columnGap = 2;

using Row = std::vector<std::string>;

auto heading(std::string_view member) -> std::string
{
    std::string text(member);
    std::replace(text.begin(), text.end(), '_', ' ');
    return text;
}

auto isWallTime(std::string_view member) -> bool { return member.ends_with("at_ms") || member.ends_with("by_ms"); }

auto formatTime(std::int64_t millis) -> std::string
{
    if (millis == 0)
        return "-";
    const auto seconds = static_cast<std::time_t>(millis / millisPerSecond);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%SZ", &parts);
    return text;
}

auto formatValue(std::string_view member, const json::value& value) -> std::string
{
    if (value.is_string())
        return value.as_string().empty() ? "-" : std::string(value.as_string());
    if (value.is_bool())
        return value.as_bool() ? "yes" : "no";
    if (value.is_int64() && isWallTime(member))
        return formatTime(value.as_int64());
    return json::serialize(value);
}

auto isTable(const json::value& value) -> bool
{
    if (!value.is_array())
        return false;
    const auto& rows = value.as_array();
    return std::all_of(rows.begin(), rows.end(), [](const auto& row) { return row.is_object(); });
}

auto columnsOf(const json::array& rows) -> Row
{
    Row columns;
    for (const auto& row : rows) {
        for (const auto& member : row.as_object()) {
            if (std::find(columns.begin(), columns.end(), member.key()) == columns.end())
                columns.emplace_back(member.key());
        }
    }
    return columns;
}

auto cellsOf(const json::object& row, const Row& columns) -> Row
{
    Row cells;
    for (const auto& column : columns) {
        const auto* value = row.if_contains(column);
        cells.push_back(value == nullptr ? "-" : formatValue(column, *value));
    }
    return cells;
}

auto alignColumns(const std::vector<Row>& table) -> std::string
{
    std::vector<std::size_t> widths(table.front().size());
    for (const auto& row : table) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size() + columnGap);
    }
    std::string text;
    for (const auto& row : table) {
        std::string line = "  ";
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size(), ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

auto formatTable(std::string_view name, const json::array& rows) -> std::string
{
    if (rows.empty())
        return heading(name) + ": none\n";
    const auto columns = columnsOf(rows);
    std::vector<Row> table(1);
    for (const auto& column : columns)
        table.front().push_back(heading(column));
    for (const auto& row : rows)
        table.push_back(cellsOf(row.as_object(), columns));
    return heading(name) + ":\n" + alignColumns(table);
}

} // namespace

auto formatAnswer(const json::object& answer) -> std::string
{
    std::string text;
    for (const auto& member : answer) {
        if (isTable(member.value()))
            text += formatTable(member.key(), member.value().as_array());
        else
            text += heading(member.key()) + ": " + formatValue(member.key(), member.value()) + "\n";
    }
    return text;
}

auto formatRefusal(const detail::Refusal& refusal) -> std::string
{
    auto text = "refused: " + std::string(errorAnswer(refusal.m_reason.m_kind).m_name);
    text += refusal.m_guaranteesNotRun ? " (not run" : " (may have run";
    text += refusal.m_isRetryable ? ", a retry may succeed): " : ", a retry does not help): ";
    return text + refusal.m_reason.m_text + "\n";
}

} // namespace hemlockvane::app
