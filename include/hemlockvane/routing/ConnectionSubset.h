#pragma once

#include "hemlockvane/routing/SubsetLimits.h"
#include "hemlockvane/routing/SubsetMember.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace hemlockvane {

/// @brief Entries that connect to each executor, by executor id.
using ConnectionSubsets = std::map<std::string, std::set<std::string>>;

/// @brief Computes which entries connect to which executors of a service.
///
/// With few entries, all do. Otherwise each executor takes the entries that rank highest by a hash of both ids, those
/// of its own availability zone for half of its places, and none beyond an even load. Every entry computes the same
/// from the same lists, and little changes when an instance comes or goes.
/// @complexity executors times entries times log entries
auto computeSubsets(std::span<const SubsetMember> entries, std::span<const SubsetMember> executors,
    const SubsetLimits& limits) -> ConnectionSubsets;

} // namespace hemlockvane
