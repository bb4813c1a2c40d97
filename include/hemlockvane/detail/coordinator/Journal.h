#pragma once

#include "hemlockvane/detail/ports/TopicContent.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Keyed topic of the progress of jobs and of the executors in use; only the owner appends.
inline const std::string progressTopic = "keyed.progress";

/// @brief First character of the key of a job's progress, before the job's id.
inline constexpr char progressPrefix = 'p';

/// @brief First character of the key of an executor, before its id.
inline constexpr char executorPrefix = 'e';

/// @brief Shuts out earlier owners: from now on the store refuses their progress.
/// @result false when the store refuses this owner, or until the ownership ends
auto fenceJournal(CoordinatorState& state) -> boost::asio::awaitable<bool>;

/// @brief Puts stored progress back into the jobs that were loaded, and the executors that were in use.
auto restoreJournal(CoordinatorState& state, const TopicContent& content) -> void;

/// @brief Stores progress in batches until the ownership ends.
auto writeJournal(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
