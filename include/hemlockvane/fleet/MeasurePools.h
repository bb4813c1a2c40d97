#pragma once

#include <cstdint>

namespace hemlockvane::fleet {

struct FleetView;
struct PoolView;

/// @brief Relates memory to processor by the machines of the fleet, so that demand for either can be compared.
/// Deployments whose machines report no memory are planned by processor alone.
auto relateMemory(FleetView& view) -> void;

/// @brief Processor that running and waiting tasks need, or that stands for their memory if that is the scarcer
/// resource, in millicores.
[[nodiscard]] auto presentDemand(const PoolView& pool) -> std::int64_t;

/// @brief Capacity that the pool lacks, by the scarcer of processor and memory, in millicores; negative when it has a
/// surplus of both.
[[nodiscard]] auto shortfallOf(const PoolView& pool) -> double;

/// @brief Whether the pool still has enough of both resources after it has given up a machine.
/// @param cpuMilliCores processor of that machine
/// @param memoryMb memory of that machine
[[nodiscard]] auto canGiveUp(const PoolView& pool, std::int64_t cpuMilliCores, std::int64_t memoryMb) -> bool;

} // namespace hemlockvane::fleet
