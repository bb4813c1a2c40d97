#include "hemlockvane/errors/ErrorAnswer.h"

#include <array>

namespace hemlockvane {

namespace {

constexpr std::array<ErrorAnswer, errorKindCount> answers { {
    { ErrorKind::None, "none", 200, false, false },
    { ErrorKind::BadRequest, "bad_request", 400, true, false },
    { ErrorKind::UnknownKey, "unknown_key", 401, true, false },
    { ErrorKind::WithdrawnKey, "withdrawn_key", 401, true, false },
    { ErrorKind::WrongTeam, "wrong_team", 403, true, false },
    { ErrorKind::OverLimit, "over_limit", 429, true, true },
    { ErrorKind::QueueFull, "queue_full", 503, true, true },
    { ErrorKind::DeadlinePassed, "deadline_passed", 504, true, true },
    { ErrorKind::NoCapacity, "no_capacity", 503, true, true },
    { ErrorKind::Draining, "draining", 503, true, true },
    { ErrorKind::NotVouched, "not_vouched", 503, true, true },
    { ErrorKind::LogUnavailable, "log_unavailable", 503, true, true },
    { ErrorKind::Conflict, "conflict", 409, true, false },
    { ErrorKind::Duplicate, "duplicate", 409, true, false },
    { ErrorKind::OutcomeUnknown, "outcome_unknown", 502, false, false },
    { ErrorKind::AnswerLost, "answer_lost", 502, false, true },
    { ErrorKind::NeverRunnable, "never_runnable", 422, true, false },
    { ErrorKind::Cancelled, "cancelled", 409, false, false },
    { ErrorKind::Internal, "internal", 500, false, false },
    { ErrorKind::NotFound, "not_found", 404, true, false },
    { ErrorKind::TooLarge, "too_large", 413, true, false },
    { ErrorKind::StaleEpoch, "stale_epoch", 409, true, true },
    { ErrorKind::OverBudget, "over_budget", 409, true, true },
} };

} // namespace

auto errorAnswer(ErrorKind kind) -> const ErrorAnswer&
{
    const auto index = static_cast<std::size_t>(kind);
    return index < answers.size() ? answers[index] : answers[static_cast<std::size_t>(ErrorKind::Internal)];
}

} // namespace hemlockvane
