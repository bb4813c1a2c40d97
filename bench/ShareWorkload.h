#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace hemlockvane::bench {

/// @brief One team of the synthetic load.
struct WorkloadTeam {
    std::string m_name;
    double m_weight = 1;
    double m_meanSlots = 0; ///< Mean slots that its requests would use of one service.
    double m_meanRunMs = 10;
    std::vector<double> m_entryFractions; ///< Part of its requests sent through each entry.
};

/// @brief Sizes and load of one run.
struct ShareWorkload {
    std::string m_name;
    int m_entries = 9;
    int m_zones = 4;
    int m_services = 5;
    int m_executors = 10;
    std::uint32_t m_slots = 8;
    int m_seconds = 50;
    int m_phaseMs = 4000; ///< Length of a spike, and of the quiet time after it.
    int m_deadlineMs = 5000;
    std::vector<WorkloadTeam> m_teams;
};

/// @brief Factor on the load of a service: each in turn spikes to 5 times its mean, then drops to a twentieth.
auto loadFactor(const ShareWorkload& workload, int service, int nowMs) -> double;

/// @brief Six teams with uneven entries and run times that differ by 100.
/// @param greedyFactor the last team's load as a multiple of its share; 0: an ordinary load
/// @param greedyRunMs mean run time of the last team's requests
auto makeWorkload(const std::string& name, int zones, double greedyFactor, double greedyRunMs) -> ShareWorkload;

/// @brief Number of requests that a team sends through an entry in one millisecond.
auto drawArrivals(const WorkloadTeam& team, int entry, double factor, std::mt19937_64& random) -> int;

/// @brief Run time of one request in milliseconds, between half and one and a half of the team's mean.
auto drawRunMs(const WorkloadTeam& team, std::mt19937_64& random) -> int;

} // namespace hemlockvane::bench
