#pragma once

#include "core/fleet/FleetFixture.h"

#include "hemlockvane/placement.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief A simulated worker and its tasks.
struct FakeWorker {
    std::string m_incarnation = "1";
    std::map<std::string, TaskReport> m_tasks;
};

/// @brief Simulates a fleet, the holder of the placement duty and its workers in virtual time.
struct PlacementFixture {
    FleetFixture m_fleet;
    PlacementState m_state;
    std::map<std::string, FakeWorker> m_workers;
    std::vector<PlacementAction> m_sent;
    Instant m_now { Duration(1000000) };
    bool m_mayPlace = true;
    bool m_workersComply = true;
    bool m_checkpointsSucceed = true;
    std::uint32_t m_permits = 1000;

    /// @brief Adds workers of 32 cores, distributed round robin over four zones; each sends one report.
    auto addWorkers(int count) -> void;
    auto plan() -> std::vector<PlacementAction>;
    /// @brief Carries out an action: folds its record, or delivers its message to the worker.
    auto perform(const PlacementAction& action) -> void;
    auto report(const std::string& worker) -> void;
    /// @brief Lets every worker report, then makes a plan and carries it out.
    auto step() -> void;
    auto advance(Duration duration) -> void;
    auto stepFor(Duration duration) -> void;
    auto endTask(const std::string& job, TaskPhase phase) -> void;
    auto task(const std::string& job) -> TaskReport&;
    auto cancel(const std::string& job, const std::string& team) -> void;
    auto runningOf(const std::string& team) const -> int;
    /// @brief Preemption messages sent for a job, in order.
    auto preemptionsSentFor(const std::string& job) const -> std::vector<PlacementActionKind>;

private:
    auto place(const PlacementAction& action) -> void;
    auto end(const PlacementAction& action) -> void;
    auto deliver(const PlacementAction& action) -> void;
};

} // namespace hemlockvane
