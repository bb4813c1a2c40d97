#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct TrafficState;

/// @brief Answers the callers' job calls: submit, status and cancel. Other paths are answered with NotFound.
auto handleJobs(TrafficState& traffic, HttpRequest request) -> boost::asio::awaitable<HttpResponse>;

} // namespace hemlockvane::detail
