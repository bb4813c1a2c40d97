#include "hemlockvane/detail/platform/LogClient.h"

#include "hemlockvane/detail/text/JsonFields.h"

#include "hemlockvane/records.pb.h"

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumBatchBytes = 64UL * 1024 * 1024;
constexpr unsigned maximumBatchRecords = 2000;
constexpr unsigned statusOk = 200;
constexpr unsigned statusServerError = 500;
constexpr unsigned statusUnavailable = 503;
constexpr std::int64_t missingOffset = -1;

// True when the request certainly had no effect. After a server error other than 503, for example one of a gateway, it
// may have taken effect.
auto isRefusal(unsigned status) -> bool { return status < statusServerError || status == statusUnavailable; }

auto readOffset(const std::string& body, FailureReason& reason) -> std::optional<Offset>
{
    const auto object = parseObject(body);
    const auto offset = object ? numberOf(*object, "offset", missingOffset) : missingOffset;
    if (offset != missingOffset)
        return static_cast<Offset>(offset);
    return fail(reason, ErrorKind::AnswerLost, "the log service's response has no offset");
}

} // namespace

LogClient::LogClient(asio::any_io_executor executor, std::string address)
    : m_address(std::move(address))
    , m_reader(executor)
    , m_appender(executor)
{
}

auto LogClient::exchange(HttpConnection& connection, const HttpRequest& request, std::chrono::milliseconds timeout,
    FailureReason& reason) -> asio::awaitable<std::optional<HttpResponse>>
{
    if (!connection.isOpen() && !co_await connection.connect(m_address, timeout, reason))
        co_return std::nullopt;
    auto response = co_await connection.exchange(request, timeout, maximumBatchBytes, reason);
    if (!response)
        co_return std::nullopt;
    if (response->m_status != statusOk) {
        fail(reason, isRefusal(response->m_status) ? ErrorKind::LogUnavailable : ErrorKind::AnswerLost,
            "the log service answered with status " + std::to_string(response->m_status));
        co_return std::nullopt;
    }
    co_return response;
}

auto LogClient::append(std::string record, std::chrono::milliseconds timeout, FailureReason& reason)
    -> asio::awaitable<std::optional<Offset>>
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/append";
    request.m_body = std::move(record);
    const auto response = co_await exchange(m_appender, request, timeout, reason);
    if (!response)
        co_return std::nullopt;
    co_return readOffset(response->m_body, reason);
}

auto LogClient::read(Offset from, std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
    FailureReason& reason) -> asio::awaitable<std::optional<wire::LogBatch>>
{
    HttpRequest request;
    request.m_target = "/v1/records?from=" + std::to_string(from) + "&max=" + std::to_string(maximumBatchRecords)
        + "&wait_ms=" + std::to_string(wait.count());
    const auto response = co_await exchange(m_reader, request, timeout, reason);
    if (!response)
        co_return std::nullopt;
    wire::LogBatch batch;
    if (!batch.ParseFromString(response->m_body)) {
        fail(reason, ErrorKind::LogUnavailable, "the log service's response is not a batch of records");
        co_return std::nullopt;
    }
    co_return batch;
}

} // namespace hemlockvane::detail
