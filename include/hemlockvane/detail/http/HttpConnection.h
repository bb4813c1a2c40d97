#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/detail/http/ResponseHeaders.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace hemlockvane::detail {

/// @brief A client connection, which handles one exchange at a time.
class HttpConnection {
public:
    /// @param executor executor of an io_context that runs on one thread
    explicit HttpConnection(
        const boost::asio::any_io_executor& executor, ResponseHeaders headers = ResponseHeaders::Kept);
    ~HttpConnection();
    HttpConnection(HttpConnection&&) noexcept;
    auto operator=(HttpConnection&&) noexcept -> HttpConnection&;

    /// @brief Connects to a server.
    /// @param address IP number and port
    /// @param reason receives NoCapacity when the connection is refused or not accepted in time
    /// @result true when the connection is open
    auto connect(std::string_view address, std::chrono::milliseconds timeout, FailureReason& reason)
        -> boost::asio::awaitable<bool>;

    /// @brief Sends a request and reads its complete response. After a failure the connection is closed.
    /// @param reason receives NoCapacity when no byte of the request can have been sent, AnswerLost otherwise
    /// @result empty on error, or when the response is truncated or its body larger than `maximumBodyBytes`
    auto exchange(const HttpRequest& request, std::chrono::milliseconds timeout, std::size_t maximumBodyBytes,
        FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

    /// @brief True while the connection can be used for another exchange.
    [[nodiscard]] auto isOpen() const -> bool;

    /// @brief True when the peer closed the connection or sent bytes that belong to no request.
    [[nodiscard]] auto isStale() -> bool;

    /// @brief True when any part of the response of the last exchange arrived.
    [[nodiscard]] auto hasResponseBegun() const -> bool;

    auto close() -> void;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief Sends one request on a new connection.
/// @param reason receives NoCapacity when no byte of the request can have been sent, AnswerLost otherwise
/// @result empty when no complete response arrived
auto httpCall(std::string_view address, const HttpRequest& request, std::chrono::milliseconds timeout,
    FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

} // namespace hemlockvane::detail
