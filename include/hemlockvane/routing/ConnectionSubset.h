#pragma once

#include "hemlockvane/routing/SubsetLimits.h"
#include "hemlockvane/routing/SubsetMember.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace hemlockvane {

/// @brief Entries that connect to an executor, by executor id.
using ConnectionSubsets = std::map<std::string, std::set<std::string>>;

/// @brief Computes which entries connect to which executors of a service.
///
/// If there are few entries, all of them connect. Otherwise each executor gets the entries that rank highest by a hash
/// of both ids; half of its places go to entries of its own availability zone first, and entries that have reached an
/// even load are skipped while others are left. Every entry computes the same result from the same lists, and few
/// connections change when an instance joins or leaves.
/// @complexity executors times entries times log entries
auto computeSubsets(std::span<const SubsetMember> entries, std::span<const SubsetMember> executors,
    const SubsetLimits& limits) -> ConnectionSubsets;

} // namespace hemlockvane
