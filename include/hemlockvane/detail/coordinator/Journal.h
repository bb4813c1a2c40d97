#pragma once

#include "hemlockvane/detail/ports/TopicContent.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/scheduling/TaskRun.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Keyed topic with the progress of jobs, the executors in use, machine orders and waves; only the owner
/// appends.
inline const std::string progressTopic = "keyed.progress";

/// @brief First character of the key of a job's progress; the job's id follows.
inline constexpr char progressPrefix = 'p';

/// @brief First character of the key of a further part of a job's progress; the job's id, a dot and the number of the
/// part follow.
inline constexpr char progressPartPrefix = 'q';

/// @brief First character of the key of an executor; its id follows.
inline constexpr char executorPrefix = 'e';

/// @brief Only character of the key of the newest configuration version that an owner has decided by.
inline constexpr char rulesVersionPrefix = 'r';

/// @brief Key of that version; the value is its decimal digits.
inline const std::string rulesVersionKey = { rulesVersionPrefix };

/// @brief Fences earlier owners: from now on the store refuses their journal appends.
/// @result false when the store refuses this owner or the ownership ended
auto fenceJournal(CoordinatorState& state) -> boost::asio::awaitable<bool>;

/// @brief Removes a job's progress from the journal with the next batch.
auto removeProgress(CoordinatorState& state, scheduling::JobId id) -> void;

/// @brief Writes an executor to the journal with the next batch.
auto storeExecutor(CoordinatorState& state, scheduling::ExecutorIndex index) -> void;

/// @brief Restores the stored progress of the loaded jobs, the executors in use, machine orders and waves.
auto restoreJournal(CoordinatorState& state, const TopicContent& content) -> void;

/// @brief Writes changes to the journal in batches until the ownership ends.
auto writeJournal(std::shared_ptr<CoordinatorState> state) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail
