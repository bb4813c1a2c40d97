#pragma once

#include "hemlockvane/detail/client/Refusal.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/errors/FailureReason.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Parses the refusal in an entry's response.
/// @result empty when the response is not a refusal by an entry
auto readRefusal(const HttpResponse& response) -> std::optional<Refusal>;

/// @brief Converts a failure to get a complete response into a refusal.
auto refusalOf(const FailureReason& reason) -> Refusal;

/// @brief True when the same request may be sent to another entry.
/// @param isIdempotent the request may run more than once, or it has an idempotency key under which it runs once
auto mayTryNextEntry(const Refusal& refusal, bool isIdempotent) -> bool;

/// @brief Sends a request to one entry and blocks until the response arrives.
/// @param address IP number and port of the entry
/// @param reason receives NoCapacity when nothing was sent, AnswerLost otherwise
/// @result empty when no complete response arrived
auto callEntry(std::string_view address, const HttpRequest& request, std::chrono::milliseconds timeout,
    FailureReason& reason) -> std::optional<HttpResponse>;

/// @brief Sends a request to one entry after another until a response is final. Blocks.
///
/// The next entry is tried only if that cannot run the request twice.
/// @param reason receives the reason of the last refusal or failure; OutcomeUnknown when that one was certainly not run
/// but an earlier attempt may have run
/// @result the final response, which may be a refusal; empty when no entry sent a complete response
auto callEntries(std::span<const std::string> addresses, const HttpRequest& request, bool isIdempotent,
    std::chrono::milliseconds timeout, FailureReason& reason) -> std::optional<HttpResponse>;

} // namespace hemlockvane::detail
