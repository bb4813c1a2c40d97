#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane {

/// @brief Bounds of one entry's use of the log.
struct AppenderLimits {
    std::size_t m_queuedOperations = 4096; ///< Waiting, in flight or not yet read back.
    std::size_t m_groupOperations = 512;
    std::size_t m_groupBytes = 262144; ///< Of the operations in one record.
    double m_appendsPerSecond = 25;
    double m_burstAppends = 5;
    Duration m_answerTimeout { 2000 }; ///< An append without an answer counts as lost after this time.
    Duration m_retryDelay { 500 }; ///< Between a failed append and the next one.
    Duration m_outageAfter { 3000 }; ///< Appends failing for this long: unsent operations are refused at once.
};

} // namespace hemlockvane
