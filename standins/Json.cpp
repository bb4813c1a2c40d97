#include "Json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace hemlockvane::standins {

namespace json = boost::json;

auto queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback) -> std::uint64_t
{
    const auto queryStart = target.find('?');
    auto query = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (pair.size() <= name.size() || !pair.starts_with(name) || pair[name.size()] != '=')
            continue;
        const auto text = pair.substr(name.size() + 1);
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        return parsed.ec == std::errc() ? number : fallback;
    }
    return fallback;
}

auto pathOf(std::string_view target) -> std::string_view { return target.substr(0, target.find('?')); }

auto jsonAnswer(unsigned status, const json::object& body) -> StandinAnswer
{
    StandinAnswer answer;
    answer.m_response.m_status = status;
    answer.m_response.m_headers.push_back({ "Content-Type", "application/json" });
    answer.m_response.m_body = json::serialize(body) + "\n";
    return answer;
}

auto refusal(unsigned status, std::string_view text) -> StandinAnswer
{
    return jsonAnswer(status, { { "error", text } });
}

} // namespace hemlockvane::standins
