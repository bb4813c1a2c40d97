#pragma once

#include <cstdint>

namespace hemlockvane::fleetrun {

/// @brief Faults of one executor; probabilities are those of one order.
struct ExecutorFaults {
    bool m_isCut = false; ///< Neither requests nor answers get through; what runs goes on.
    bool m_isMute = false; ///< Requests are carried out, answers don't get through.
    double m_lostAnswer = 0; ///< The order is carried out and its connection closed without an answer.
    double m_lateOrder = 0; ///< The order gets no answer and is carried out seconds later.
    double m_lateCall = 0; ///< As `m_lateOrder`, for any call; the next life carries it out if there is one by then.
    bool m_isPaused = false; ///< Its process stands still; its clock goes on.
    bool m_stopsSlowly = false; ///< Each stop takes as long as it may.
    std::int64_t m_answerDelayMs = 0; ///< Longest time that an answer is on its way.
    double m_refusal = 0; ///< 429 or 503, and nothing is done.
    double m_error = 0; ///< 500, 502 or 504, and the order is carried out.
    double m_failure = 0; ///< A task that is started here fails.
};

} // namespace hemlockvane::fleetrun
