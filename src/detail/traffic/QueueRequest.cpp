#include "hemlockvane/detail/traffic/QueueRequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

namespace hemlockvane::detail {

namespace {

constexpr std::string_view requestsPrefix = "/v1/requests/";

// Headers that are not forwarded: hop-by-hop headers and the caller's key.
constexpr std::array<std::string_view, 9> strippedHeaders { "Authorization", "Connection", "Keep-Alive",
    "Transfer-Encoding", "Content-Length", "Host", "Upgrade", "TE", "Proxy-Connection" };
constexpr std::array<std::string_view, 5> repeatableMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

constexpr std::array<std::string_view, 3> safeMethods { "GET", "HEAD", "OPTIONS" };

auto contains(std::span<const std::string_view> names, std::string_view name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto isStripped(const HttpHeader& header) -> bool
{
    return std::any_of(strippedHeaders.begin(), strippedHeaders.end(),
        [&](std::string_view name) { return isSameHeaderName(header.m_name, name); });
}

auto readTimeout(const HttpRequest& request, Duration fallback, FailureReason& reason) -> std::optional<Duration>
{
    const auto text = findHeader(request.m_headers, "X-Request-Timeout-Ms");
    if (text.empty())
        return fallback;
    Duration::rep millis = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), millis);
    const auto isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isWhole || millis <= 0 || Duration(millis) > longestRequestDeadline)
        return fail(reason, ErrorKind::BadRequest, "X-Request-Timeout-Ms must be from 1 to 120000 milliseconds");
    return Duration(millis);
}

auto readPriority(const HttpRequest& request, FailureReason& reason) -> std::optional<bool>
{
    const auto text = findHeader(request.m_headers, "X-Priority");
    if (text.empty() || text == "normal")
        return false;
    if (text == "urgent")
        return true;
    return fail(reason, ErrorKind::BadRequest, "X-Priority must be urgent or normal");
}

} // namespace

auto queueOf(std::string_view target) -> std::string_view
{
    if (!target.starts_with(requestsPrefix))
        return {};
    const auto rest = target.substr(requestsPrefix.size());
    return rest.substr(0, rest.find_first_of("/?"));
}

auto readQueueRequest(HttpRequest request, std::string_view queue, Duration defaultDeadline, Instant now,
    FailureReason& reason) -> std::optional<QueueRequest>
{
    const auto timeout = readTimeout(request, defaultDeadline, reason);
    const auto isUrgent = readPriority(request, reason);
    if (!timeout || !isUrgent)
        return std::nullopt;
    QueueRequest result;
    result.m_queue = std::string(queue);
    result.m_deadline = now + *timeout;
    result.m_isUrgent = *isUrgent;
    result.m_idempotencyKey = std::string(findHeader(request.m_headers, "Idempotency-Key"));
    result.m_needsClaim = !result.m_idempotencyKey.empty() && !contains(safeMethods, request.m_method);
    result.m_isRepeatable = !result.m_needsClaim && contains(repeatableMethods, request.m_method);
    const auto rest = std::string(request.m_target.substr(requestsPrefix.size() + queue.size()));
    std::erase_if(request.m_headers, isStripped);
    request.m_target = rest.starts_with('/') ? rest : "/" + rest;
    result.m_message = std::move(request);
    return result;
}

} // namespace hemlockvane::detail
