#pragma once

#include "core/fleet/FleetFixture.h"

#include "hemlockvane/placement.h"

#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief What a worker holds in a test.
struct FakeWorker {
    std::string m_incarnation = "1";
    std::map<std::string, TaskReport> m_tasks;
};

/// @brief A fleet, its placement holder and workers that follow its messages, in virtual time.
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

    /// @brief Adds workers of 32 cores in turn over four zones and lets each report once.
    auto addWorkers(int count) -> void;
    auto plan() -> std::vector<PlacementAction>;
    /// @brief Does an action: appends its record and folds it, or has the worker follow it.
    auto record(const PlacementAction& action) -> void;
    auto report(const std::string& worker) -> void;
    /// @brief Every worker reports, then one plan is made and done.
    auto step() -> void;
    auto advance(Duration duration) -> void;
    auto stepFor(Duration duration) -> void;
    auto endTask(const std::string& job, TaskPhase phase) -> void;
    auto task(const std::string& job) -> TaskReport&;
    auto cancel(const std::string& job, const std::string& team) -> void;
    auto runningOf(const std::string& team) const -> int;
    /// @brief Pressure messages sent for a job, in order.
    auto preemptionsSentFor(const std::string& job) const -> std::vector<PlacementActionKind>;

private:
    auto place(const PlacementAction& action) -> void;
    auto end(const PlacementAction& action) -> void;
    auto follow(const PlacementAction& action) -> void;
};

} // namespace hemlockvane
