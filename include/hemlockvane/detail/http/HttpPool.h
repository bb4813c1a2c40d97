#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::detail {

/// @brief Kept connections to any number of servers; each server has a limit of its own.
class HttpPool {
public:
    /// @param maximumPerServer connections to one server at the same time; further calls wait
    HttpPool(boost::asio::io_context& context, std::size_t maximumPerServer);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    auto operator=(const HttpPool&) -> HttpPool& = delete;

    /// @brief One exchange on a kept or a new connection.
    /// @param timeout for connecting and for the exchange, each
    /// @param reason receives NoCapacity when no byte of the request can have left, AnswerLost otherwise
    /// @result empty when there is no whole answer
    auto call(std::string address, HttpRequest request, std::chrono::milliseconds timeout, FailureReason& reason)
        -> boost::asio::awaitable<std::optional<HttpResponse>>;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
