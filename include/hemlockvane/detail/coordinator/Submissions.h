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

/// @brief Keyed topic of submissions and cancellations; any instance appends.
inline const std::string submissionTopic = "keyed.jobs";

/// @brief First character of the key of a submission, before the job's id.
inline constexpr char submissionPrefix = 's';

/// @brief First character of the key of a cancellation, before the job's id.
inline constexpr char cancellationPrefix = 'c';

/// @brief Takes in one record of the topic.
auto applySubmissionRecord(CoordinatorState& state, const KeyedRecord& record) -> void;

/// @brief Takes in all that is stored.
auto loadSubmissions(CoordinatorState& state, const TopicContent& content) -> void;

/// @brief Reads on from where the last read ended.
/// @param wait how long the store may wait for a record
/// @result false when the store did not answer
auto readSubmissions(CoordinatorState& state, Duration wait) -> boost::asio::awaitable<bool>;

/// @brief Follows the topic until the ownership ends.
auto followSubmissions(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
