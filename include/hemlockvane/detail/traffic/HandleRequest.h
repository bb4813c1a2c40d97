#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct TrafficState;

/// @brief Forwards a request "/v1/requests/{queue}/..." to an executor of the queue's service.
/// @result the executor's complete response, or an error response
auto handleRequest(TrafficState& traffic, HttpRequest request) -> boost::asio::awaitable<HttpResponse>;

} // namespace hemlockvane::detail
