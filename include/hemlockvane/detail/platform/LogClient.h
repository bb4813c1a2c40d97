#pragma once

#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FoldContext.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::wire {
class LogBatch;
} // namespace hemlockvane::wire

namespace hemlockvane::detail {

/// @brief Client of the platform's log service, with separate connections for reads and appends. Not thread-safe.
class LogClient {
public:
    /// @param address IP number and port of the log service
    LogClient(boost::asio::any_io_executor executor, std::string address);

    /// @brief Appends one record.
    /// @param reason receives NoCapacity when nothing was sent, AnswerLost when the append may have taken effect (this
    ///     includes server errors other than 503), LogUnavailable when the service refused
    /// @result the record's offset, empty on error
    auto append(std::string record, std::chrono::milliseconds timeout, FailureReason& reason)
        -> boost::asio::awaitable<std::optional<Offset>>;

    /// @brief Reads records from an offset on.
    /// @param wait how long the service waits for the first record
    /// @param timeout limit of the whole call, the wait included
    /// @param reason receives NoCapacity, AnswerLost or LogUnavailable
    /// @result empty on error
    auto read(Offset from, std::chrono::milliseconds wait, std::chrono::milliseconds timeout, FailureReason& reason)
        -> boost::asio::awaitable<std::optional<wire::LogBatch>>;

private:
    auto exchange(HttpConnection& connection, const HttpRequest& request, std::chrono::milliseconds timeout,
        FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

    std::string m_address;
    HttpConnection m_reader;
    HttpConnection m_appender;
};

} // namespace hemlockvane::detail
