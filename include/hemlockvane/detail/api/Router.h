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

/// @brief Finds the handler of a method and path.
class Router {
public:
    /// @brief Adds a route.
    /// @param pattern path whose segments "{}" match anything and are captured, for example "/v1/keys/{}"
    auto add(std::string_view method, std::string_view pattern, ApiHandler handler) -> void;

    /// @brief Answers a request: BadRequest for a body that is no JSON object, NotFound for an unknown path.
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
