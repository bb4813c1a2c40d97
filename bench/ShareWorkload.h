#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace hemlockvane::bench {

/// @brief One team of the synthetic workload.
struct WorkloadTeam {
    std::string m_name;
    double m_weight = 1;
    double m_meanSlots = 0; ///< Mean number of slots of one service that its requests would use.
    double m_meanRunMs = 10;
    std::vector<double> m_entryFractions; ///< Fraction of its requests sent through each entry.
};

/// @brief Fleet size and load of one run.
struct ShareWorkload {
    std::string m_name;
    int m_entries = 9;
    int m_zones = 4;
    int m_services = 5;
    int m_executors = 10;
    std::uint32_t m_slots = 8;
    int m_seconds = 50;
    int m_phaseMs = 4000; ///< Duration of a spike, and of the drop after it.
    int m_deadlineMs = 5000;
    std::vector<WorkloadTeam> m_teams;
};

/// @brief Factor on a service's mean load; each service in turn spikes to 5 times its mean, then drops to a twentieth.
auto loadFactor(const ShareWorkload& workload, int service, int nowMs) -> double;

/// @brief Makes a workload of six teams, spread unevenly over the entries, with mean run times from 10 ms to 1 s.
/// @param greedyFactor the last team's load as a multiple of its share; 0: its ordinary load
/// @param greedyRunMs mean run time of the last team's requests, ms; ignored if greedyFactor is 0
auto makeWorkload(const std::string& name, int zones, double greedyFactor, double greedyRunMs) -> ShareWorkload;

/// @brief Draws the number of requests that a team sends through an entry in one millisecond.
/// @param factor factor on the team's mean load
auto drawArrivals(const WorkloadTeam& team, int entry, double factor, std::mt19937_64& random) -> int;

/// @brief Draws the run time of one request in milliseconds, from 0.5 to 1.5 times the team's mean.
auto drawRunMs(const WorkloadTeam& team, std::mt19937_64& random) -> int;

} // namespace hemlockvane::bench
