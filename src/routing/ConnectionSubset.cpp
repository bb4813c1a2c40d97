#include "hemlockvane/routing/ConnectionSubset.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockvane {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;
// An entry may connect to this multiple of the mean number of executors. The slack limits how many connections change
// when an instance joins or leaves.
constexpr double loadSlack = 1.1;

// Finalizer of MurmurHash3, so that ids that differ in one character rank independently.
auto mix(std::uint64_t value) -> std::uint64_t
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

auto hashPair(std::string_view left, std::string_view right) -> std::uint64_t
{
    auto hash = fnvOffset;
    for (const auto text : { left, std::string_view("|"), right }) {
        for (const auto character : text) {
            hash ^= static_cast<unsigned char>(character);
            hash *= fnvPrime;
        }
    }
    return mix(hash);
}

// Indices of the entries in the executor's order of preference.
auto rankEntries(std::span<const SubsetMember> entries, const SubsetMember& executor) -> std::vector<std::size_t>
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    for (std::size_t e = 0; e < entries.size(); ++e)
        ranks.emplace_back(hashPair(entries[e].m_id, executor.m_id), e);
    std::sort(ranks.rbegin(), ranks.rend());
    std::vector<std::size_t> order;
    for (const auto& [rank, e] : ranks)
        order.push_back(e);
    return order;
}

// Adds the preferred entries that `allowed` accepts until the subset has `count`.
template <typename Allowed>
auto addEntries(std::span<const SubsetMember> entries, std::span<const std::size_t> order, std::size_t count,
    std::vector<std::size_t>& load, std::set<std::string>& subset, const Allowed& allowed) -> void
{
    for (const auto e : order) {
        if (subset.size() >= count)
            return;
        if (allowed(e) && subset.insert(entries[e].m_id).second)
            ++load[e];
    }
}

auto sortedById(std::span<const SubsetMember> members) -> std::vector<SubsetMember>
{
    std::vector<SubsetMember> sorted(members.begin(), members.end());
    std::sort(sorted.begin(), sorted.end(), [](auto& left, auto& right) { return left.m_id < right.m_id; });
    return sorted;
}

} // namespace

auto computeSubsets(std::span<const SubsetMember> entries, std::span<const SubsetMember> executors,
    const SubsetLimits& limits) -> ConnectionSubsets
{
    const auto members = sortedById(entries);
    const auto count = std::min<std::size_t>(limits.m_entries, members.size());
    const auto mean = members.empty() ? 0 : static_cast<double>(executors.size() * count) / members.size();
    const auto maximumLoad = static_cast<std::size_t>(mean * loadSlack) + 1;
    std::vector<std::size_t> load(members.size());
    ConnectionSubsets subsets;
    for (const auto& executor : sortedById(executors)) {
        const auto order = rankEntries(members, executor);
        auto& subset = subsets[executor.m_id];
        const auto hasRoom = [&](std::size_t e) { return load[e] < maximumLoad; };
        const auto isNear = [&](std::size_t e) { return hasRoom(e) && members[e].m_zone == executor.m_zone; };
        const auto any = [](std::size_t) { return true; };
        addEntries(members, order, count / 2, load, subset, isNear);
        addEntries(members, order, count, load, subset, hasRoom);
        addEntries(members, order, count, load, subset, any);
    }
    return subsets;
}

} // namespace hemlockvane
