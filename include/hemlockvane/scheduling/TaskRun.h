#pragma once

#include "hemlockvane/scheduling/RunPhase.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane::scheduling {

/// @brief Index of an executor in `Scheduler::m_executors`; stable for the lifetime of the process.
using ExecutorIndex = std::uint32_t;

/// @brief One run of a task on one executor.
struct TaskRun {
    std::uint32_t m_run = 0;
    ExecutorIndex m_executor = 0;
    RunPhase m_phase = RunPhase::Starting;
    Instant m_orderedAt; ///< When the scheduler decided on the start.
    bool m_isInFlight = false; ///< Its start was decided by this owner and is not answered yet.
    std::optional<Instant> m_storedAt; ///< When this owner learnt that the run is stored.
    bool m_isConfirmed = false; ///< Its executor has confirmed its start, or reported it, to this owner.
    bool m_isReported = false; ///< An answer to a poll of the executor's present life has listed it.
    std::optional<Instant> m_startAnsweredAt; ///< When its executor confirmed the request to start it.
    std::optional<Instant> m_sentAt; ///< When its start was last sent, or restored from the journal.
    std::optional<Instant> m_unansweredAt; ///< When a request to start it last got no answer, or may have got none.
    bool m_mayBeStopping = false; ///< An earlier owner may have had it stopped, and the stop may not have ended yet.
    bool m_isRestored = false; ///< Restored from the journal: it is not known when its start was sent.
    std::optional<Instant> m_outcomeUnknownSince; ///< When its start got no answer: it may still be carried out.
    std::int32_t m_percent = 0; ///< Progress as last reported; 100 for a long-running task that is available.
    std::int64_t m_measurement = 0; ///< Serving task: tail latency in ms; other task: processor use in millicores.
    std::int32_t m_pace = 100; ///< Pace of a filler, percent of full speed.
    Instant m_nextActionAt; ///< Earliest time of the next stop or pace change.
    bool m_wasStopSent = false; ///< A stop may have reached its executor.
    std::optional<Instant> m_stopAnsweredAt; ///< When its executor confirmed a stop; from then on it refuses the run.
};

} // namespace hemlockvane::scheduling
