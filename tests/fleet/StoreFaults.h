#pragma once

#include "review/standin/Store.hh"

#include <atomic>
#include <chrono>
#include <random>
#include <thread>

namespace hemlockvane::fleetrun {

/// @brief Faults of the platform's store; used by several threads.
struct StoreFaults {
    std::atomic<bool> m_isDown { false }; ///< 503, and nothing is done.
    std::atomic<bool> m_isSilent { false }; ///< No answers, and nothing is done.
    std::atomic<int> m_delayMs { 0 }; ///< Of each answer.
    std::atomic<int> m_lostPercent { 0 }; ///< Of the appends: carried out, their answer comes too late.

    [[nodiscard]] auto isAway() const -> bool { return m_isDown || m_isSilent; }

    auto handle(review::Store& store, const review::Request& request) -> review::Response
    {
        constexpr std::chrono::milliseconds tooLate { 2500 };
        constexpr std::chrono::milliseconds silenceCheck { 20 };
        const auto wasSilent = m_isSilent.load();
        while (m_isSilent)
            std::this_thread::sleep_for(silenceCheck);
        if (m_isDown || wasSilent)
            return review::jsonResponse(503, {});
        std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMs));
        auto response = store.handle(request);
        thread_local std::minstd_rand random { std::random_device {}() };
        if (request.m_path == "/hemlockvane/log-append" && static_cast<int>(random() % 100) < m_lostPercent)
            std::this_thread::sleep_for(tooLate);
        return response;
    }
};

} // namespace hemlockvane::fleetrun
