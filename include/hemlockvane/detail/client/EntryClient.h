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

/// @brief Reads the refusal that an entry answered with.
/// @result empty when the answer is no refusal of an entry
auto readRefusal(const HttpResponse& response) -> std::optional<Refusal>;

/// @brief The refusal that stands for a failure to get a whole answer.
auto refusalOf(const FailureReason& reason) -> Refusal;

/// @brief Whether the same request may be sent to another entry.
/// @param isIdempotent the request may be repeated, or carries a key under which it runs once
auto mayTryNextEntry(const Refusal& refusal, bool isIdempotent) -> bool;

/// @brief Sends a request to one entry and waits for the answer. Blocks.
/// @param reason receives NoCapacity when nothing was sent, AnswerLost otherwise
/// @result empty when there is no whole answer
auto callEntry(std::string_view address, const HttpRequest& request, std::chrono::milliseconds timeout,
    FailureReason& reason) -> std::optional<HttpResponse>;

/// @brief Sends a request to the entries in turn, to the next one only where that cannot run it twice. Blocks.
/// @param reason receives the last entry's reason
/// @result the first answer that is final, a refusal included; empty when no entry gave a whole answer
auto callEntries(std::span<const std::string> addresses, const HttpRequest& request, bool isIdempotent,
    std::chrono::milliseconds timeout, FailureReason& reason) -> std::optional<HttpResponse>;

} // namespace hemlockvane::detail
