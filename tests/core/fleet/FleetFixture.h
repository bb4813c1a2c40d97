#pragma once

#include "hemlockvane/log.h"

#include "hemlockvane/records.pb.h"

#include <string>

namespace hemlockvane {

/// @brief A folded fleet state that tests and benchmarks build record by record.
struct FleetFixture {
    FleetState m_state;
    WallMillis m_now = 1000000;
    std::uint64_t m_nextId = 0;
    Offset m_placementEpoch = 0;
    Offset m_maintenanceEpoch = 0;

    /// @brief Joins one entry instance and grants it the placement and maintenance duties.
    FleetFixture();

    /// @brief Folds one operation in a group of its own.
    auto fold(wire::Operation operation) -> OperationResult;

    auto addInstance(const std::string& id, const std::string& pool, const std::string& zone, const std::string& rack,
        std::uint32_t cores = 32, std::uint32_t memoryMb = 128 * 1024) -> OperationResult;
    auto setException(const std::string& setting, const std::string& scope, std::int64_t value) -> OperationResult;
    auto setDefault(const std::string& setting, std::int64_t value) -> OperationResult;
    auto submit(const std::string& job, const std::string& team, std::uint32_t cores, bool repeatable = true,
        bool urgent = false) -> OperationResult;
    auto place(const std::string& job, const std::string& worker) -> OperationResult;
    auto end(const std::string& job, wire::JobOutcome outcome, bool parked = false) -> OperationResult;
    auto startWave(const std::string& wave, WallMillis finishBy = 0) -> OperationResult;
    auto beginDrain(const std::string& wave, const std::string& instance) -> OperationResult;
    auto endDrain(const std::string& wave, const std::string& instance, bool healthy) -> OperationResult;
    auto mark(const std::string& instance, bool available) -> OperationResult;
    auto move(const std::string& instance, const std::string& to) -> OperationResult;
    auto job(const std::string& id) const -> const JobRecord&;
    auto instance(const std::string& id) const -> const InstanceRecord&;

private:
    auto grantDuty(const std::string& duty) -> Offset;
};

} // namespace hemlockvane
