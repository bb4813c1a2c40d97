#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace hemlockvane::detail {

class Coordinator;

/// @brief Path of the state of a job, before its id, on the address where instances ask the owner.
inline constexpr std::string_view statusPath = "/status/";

/// @brief Path of the number of waiting jobs, before the queue's name.
inline constexpr std::string_view waitingPath = "/waiting/";

/// @brief Answers other instances' questions; 503 when this instance does not own the work.
auto answerPeerRequest(std::function<std::shared_ptr<Coordinator>()> owned, HttpRequest request)
    -> boost::asio::awaitable<HttpResponse>;

} // namespace hemlockvane::detail
