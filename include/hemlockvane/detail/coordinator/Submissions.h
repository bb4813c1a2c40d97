#pragma once

#include "hemlockvane/detail/ports/TopicContent.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Keyed topic of submissions and cancellations; every instance appends to it.
inline const std::string submissionTopic = "keyed.jobs";

/// @brief First character of the key of a submission; the job's id follows.
inline constexpr char submissionPrefix = 's';

/// @brief First character of the key of a cancellation; the job's id follows.
inline constexpr char cancellationPrefix = 'c';

/// @brief Applies one record of the topic.
auto applySubmissionRecord(CoordinatorState& state, const KeyedRecord& record) -> void;

/// @brief Applies the whole content of the topic.
auto loadSubmissions(CoordinatorState& state, TopicContent content) -> void;

/// @brief Reads and applies the records after the last read.
/// @param wait how long the store may wait for a new record
/// @result false when the store did not answer
auto readSubmissions(CoordinatorState& state, Duration wait) -> boost::asio::awaitable<bool>;

/// @brief Reads and applies all records that the topic holds at the time of the call; repeats reads without an answer.
/// @result false when the ownership ended
auto readSubmissionsToEnd(CoordinatorState& state) -> boost::asio::awaitable<bool>;

/// @brief Follows the topic until the ownership ends.
auto followSubmissions(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
