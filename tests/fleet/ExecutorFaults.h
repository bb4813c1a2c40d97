#pragma once

namespace hemlockvane::fleetrun {

/// @brief Faults of one executor; probabilities are those of one order.
struct ExecutorFaults {
    bool m_isCut = false; ///< Neither requests nor answers get through; what runs goes on.
    bool m_isMute = false; ///< Requests are carried out, answers don't get through.
    double m_lostAnswer = 0; ///< The order is carried out and its connection closed without an answer.
    double m_lateOrder = 0; ///< The order gets no answer and is carried out seconds later.
    double m_refusal = 0; ///< 503, and nothing is done.
    double m_failure = 0; ///< A task that is started here fails.
    double m_clockRate = 1; ///< Its clock may be up to 2 % slow.
};

} // namespace hemlockvane::fleetrun
