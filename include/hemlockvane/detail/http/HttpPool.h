#pragma once

#include "hemlockvane/detail/http/HttpPoolLimits.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::detail {

/// @brief Pool of persistent connections to any number of servers. Connections to servers that are no longer called are
/// closed after a while.
class HttpPool {
public:
    HttpPool(boost::asio::io_context& context, HttpPoolLimits limits);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    auto operator=(const HttpPool&) -> HttpPool& = delete;

    /// @brief Sends a request on an idle or a new connection.
    /// @param address IP number and port of the server
    /// @param timeout limit of the exchange; also of connecting, which has a shorter limit of its own
    /// @param reason receives NoCapacity when no byte of the request can have been sent, AnswerLost otherwise
    /// @result the response without its headers; empty when no complete one arrived
    auto call(std::string address, HttpRequest request, std::chrono::milliseconds timeout, FailureReason& reason)
        -> boost::asio::awaitable<std::optional<HttpResponse>>;

    /// @brief As above, but decides as late as possible whether the request is sent.
    /// @param mayBeSent called once there is a connection, right before the request is written; may be empty
    /// @param reason receives Cancelled when `mayBeSent` has returned false, so that no byte was sent
    auto call(std::string address, HttpRequest request, std::chrono::milliseconds timeout,
        std::function<bool()> mayBeSent, FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

    /// @brief As above, but makes the request by the connection: behind a new one there may be another process than the
    /// one that answered last.
    /// @param makeRequest called with true for a new connection, with false for one that was used before
    auto call(std::string address, std::function<HttpRequest(bool)> makeRequest, std::chrono::milliseconds timeout,
        FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

    /// @brief Number of open connections, idle and in use.
    [[nodiscard]] auto openConnections() const -> std::size_t;

private:
    struct Impl;

    auto exchange(std::string address, std::function<HttpRequest(bool)> makeRequest, std::chrono::milliseconds timeout,
        std::function<bool()> mayBeSent, FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

    std::unique_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
