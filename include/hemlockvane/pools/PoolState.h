#pragma once

#include "hemlockvane/pools/InstanceRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief Worker instances by id, with counts by pool. Each instance has one record and belongs to exactly one pool.
struct PoolState {
    std::map<std::string, InstanceRecord, std::less<>> m_instances;
    std::map<std::string, std::uint32_t, std::less<>> m_sizeByPool;
    std::map<std::string, std::uint32_t, std::less<>> m_unavailableByPool; ///< Failed or draining.
};

/// @brief Number of instances of a pool that are failed or draining.
auto unavailableIn(const PoolState& state, std::string_view pool) -> std::uint32_t;

/// @brief Number of instances of a pool.
auto sizeOf(const PoolState& state, std::string_view pool) -> std::uint32_t;

/// @brief True when an instance is failed or draining and so counts against its pool's budget.
auto isUnavailable(const InstanceRecord& instance) -> bool;

/// @brief Adds an instance to its pool's counts. Call it after every change of a record.
auto countInstance(PoolState& state, const InstanceRecord& instance) -> void;

/// @brief Removes an instance from its pool's counts. Call it before every change of a record.
auto uncountInstance(PoolState& state, const InstanceRecord& instance) -> void;

} // namespace hemlockvane
