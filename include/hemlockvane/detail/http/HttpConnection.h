#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace hemlockvane::detail {

/// @brief One client connection, one exchange at a time.
class HttpConnection {
public:
    explicit HttpConnection(boost::asio::any_io_executor executor);
    ~HttpConnection();
    HttpConnection(HttpConnection&&) noexcept;
    auto operator=(HttpConnection&&) noexcept -> HttpConnection&;

    /// @brief Connects.
    /// @param address IP number and port
    /// @param reason receives NoCapacity when the peer does not take the connection in time
    /// @result empty on error
    auto connect(std::string_view address, std::chrono::milliseconds timeout, FailureReason& reason)
        -> boost::asio::awaitable<bool>;

    /// @brief Sends a request and reads its whole answer. After a failure the connection is closed.
    /// @param reason receives NoCapacity when no byte of the request can have left, AnswerLost otherwise
    /// @result empty on error or when the answer was cut short or larger than `maximumBodyBytes`
    auto exchange(const HttpRequest& request, std::chrono::milliseconds timeout, std::size_t maximumBodyBytes,
        FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

    /// @brief True while the connection can be used for another exchange.
    [[nodiscard]] auto isOpen() const -> bool;

    /// @brief True when the peer closed the connection or sent bytes that belong to no request.
    [[nodiscard]] auto isStale() -> bool;

    /// @brief True when some of the last exchange's answer arrived, whole or not.
    [[nodiscard]] auto hasResponseBegun() const -> bool;

    auto close() -> void;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief One exchange on a connection of its own.
auto httpCall(std::string_view address, const HttpRequest& request, std::chrono::milliseconds timeout,
    FailureReason& reason) -> boost::asio::awaitable<std::optional<HttpResponse>>;

} // namespace hemlockvane::detail
