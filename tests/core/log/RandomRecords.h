#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <random>
#include <string>

namespace hemlockvane::wire {
class Group;
class Operation;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct FleetState;

/// @brief Generates seeded random records with operations of every kind. They use few names, so that many conflict.
class RandomRecords {
public:
    explicit RandomRecords(std::uint32_t seed)
        : m_random(seed)
    {
    }

    /// @brief One serialised group of 1 to 4 operations; about one operation in eight repeats an earlier id.
    /// @param state the state after folding the records so far; epochs and attempts are taken from it, so that many
    /// operations are accepted
    auto next(const FleetState& state) -> std::string;

private:
    auto pick(std::uint32_t count) -> std::uint32_t { return static_cast<std::uint32_t>(m_random() % count); }
    auto epochOf(const std::string& duty) const -> std::uint64_t;
    auto attemptOf(const std::string& job) const -> std::uint32_t;
    auto waveOf(const std::string& instance) -> std::string;
    auto name(const std::string& prefix, std::uint32_t count) -> std::string;
    auto fillOperator(wire::Operation& operation, std::uint32_t kind) -> void;
    auto fillMembership(wire::Operation& operation, std::uint32_t kind) -> void;
    auto fillJob(wire::Operation& operation, std::uint32_t kind) -> void;
    auto fillPool(wire::Operation& operation, std::uint32_t kind) -> void;
    auto fillWave(wire::Operation& operation, std::uint32_t kind) -> void;

    std::mt19937 m_random;
    std::uint64_t m_count = 0;
    const FleetState* m_state = nullptr;
    WallMillis m_clock = 1700000000000;
};

} // namespace hemlockvane
