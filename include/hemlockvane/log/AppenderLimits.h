#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane {

/// @brief Limits on one entry's appends to the log.
struct AppenderLimits {
    std::size_t m_queuedOperations = 4096; ///< Operations without an outcome: waiting, in flight or not yet read back.
    std::size_t m_groupOperations = 512; ///< Operations in one record.
    std::size_t m_groupBytes = 262144; ///< Bytes of the operations in one record.
    double m_appendsPerSecond = 25;
    double m_burstAppends = 5; ///< Capacity of the token bucket.
    Duration m_answerTimeout { 2000 }; ///< The outcome of an append that is not answered in this time is unknown.
    Duration m_retryDelay { 500 }; ///< From a failed append to the next one.
    Duration m_outageAfter { 3000 }; ///< After failures for this long, unsent operations are rejected at once.
};

} // namespace hemlockvane
