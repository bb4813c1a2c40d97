#include "hemlockvane/detail/api/Router.h"

#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include <optional>
#include <span>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

auto match(std::span<const std::string> pattern, std::span<const std::string> path)
    -> std::optional<std::vector<std::string>>
{
    if (pattern.size() != path.size())
        return std::nullopt;
    std::vector<std::string> captures;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (pattern[i] == "{}")
            captures.push_back(path[i]);
        else if (pattern[i] != path[i])
            return std::nullopt;
    }
    return captures;
}

} // namespace

auto Router::add(std::string_view method, std::string_view pattern, ApiHandler handler) -> void
{
    m_routes.push_back({ std::string(method), pathSegments(pattern), std::move(handler) });
}

auto Router::route(HttpRequest request) const -> asio::awaitable<HttpResponse>
{
    const auto path = pathSegments(request.m_target);
    for (const auto& candidate : m_routes) {
        if (candidate.m_method != request.m_method)
            continue;
        auto captures = match(candidate.m_pattern, path);
        if (!captures)
            continue;
        auto body = parseObject(request.m_body);
        if (!body)
            co_return errorResponse({ ErrorKind::BadRequest, "the body must be a JSON object" });
        ApiCall call { std::move(request), std::move(*captures), std::move(*body) };
        co_return co_await candidate.m_handler(std::move(call));
    }
    co_return errorResponse({ ErrorKind::NotFound, "there is no " + request.m_method + " " + request.m_target });
}

} // namespace hemlockvane::detail
