#pragma once

#include "hemlockvane/detail/api/ApiCall.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief Answers one matched call.
using ApiHandler = std::function<boost::asio::awaitable<HttpResponse>(ApiCall)>;

/// @brief Dispatches requests to handlers by method and path.
class Router {
public:
    /// @brief Adds a route.
    /// @param pattern path in which each segment "{}" matches any segment and captures it, for example "/v1/keys/{}"
    auto add(std::string_view method, std::string_view pattern, ApiHandler handler) -> void;

    /// @brief Answers a request with the handler of its route.
    /// @result the handler's response; BadRequest when the body is not a JSON object, NotFound when no route matches
    auto route(HttpRequest request) const -> boost::asio::awaitable<HttpResponse>;

private:
    struct Route {
        std::string m_method;
        std::vector<std::string> m_pattern;
        ApiHandler m_handler;
    };

    std::vector<Route> m_routes;
};

} // namespace hemlockvane::detail
