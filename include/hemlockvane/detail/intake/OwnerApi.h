#pragma once

#include "hemlockvane/detail/coordinator/JobStatusResult.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

class Coordinator;

/// @brief Path prefix of a job's status on the address at which instances query the owner; the job's id follows.
inline constexpr std::string_view statusPath = "/status/";

/// @brief Path prefix of the number of waiting jobs; the queue's name follows.
inline constexpr std::string_view waitingPath = "/waiting/";

/// @brief Body of the answer to a query for a job's status.
auto encodeJobStatus(const JobStatusResult& status) -> std::string;

/// @brief Reads such a body.
/// @result empty when the text is no such body
auto decodeJobStatus(std::string_view text) -> std::optional<JobStatusResult>;

/// @brief Answers a query of another instance; 503 when this instance does not own the work.
auto answerPeerRequest(std::function<std::shared_ptr<Coordinator>()> ownedCoordinator, HttpRequest request)
    -> boost::asio::awaitable<HttpResponse>;

} // namespace hemlockvane::detail
