#include "hemlockvane/routing.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

using namespace hemlockvane;

namespace {

auto makeMembers(const std::string& prefix, int count, int zones) -> std::vector<SubsetMember>
{
    std::vector<SubsetMember> result;
    for (int i = 0; i < count; ++i)
        result.push_back({ prefix + std::to_string(i), "z" + std::to_string(i % zones) });
    return result;
}

// Counts the pairs of executor and entry that are in `after` and not in `before`.
auto addedPairs(const ConnectionSubsets& before, const ConnectionSubsets& after) -> int
{
    auto added = 0;
    for (const auto& [executor, subset] : after) {
        const auto found = before.find(executor);
        for (const auto& entry : subset)
            added += found == before.end() || !found->second.contains(entry) ? 1 : 0;
    }
    return added;
}

auto pairCount(const ConnectionSubsets& subsets) -> int
{
    auto count = 0;
    for (const auto& [executor, subset] : subsets)
        count += static_cast<int>(subset.size());
    return count;
}

// Smallest and largest number of executors per entry.
struct Spread {
    int m_min = 0;
    int m_max = 0;
};

auto executorsPerEntry(const ConnectionSubsets& subsets, const std::vector<SubsetMember>& entries) -> Spread
{
    std::map<std::string, int> load;
    for (const auto& entry : entries)
        load[entry.m_id] = 0;
    for (const auto& [executor, subset] : subsets) {
        for (const auto& entry : subset)
            ++load[entry];
    }
    const auto [min, max] = std::minmax_element(
        load.begin(), load.end(), [](auto& left, auto& right) { return left.second < right.second; });
    return { min->second, max->second };
}

// Mean fraction of pairs that are new when one entry or executor leaves, over each of them in turn.
auto churn(const std::vector<SubsetMember>& entries, const std::vector<SubsetMember>& executors, bool entryLeaves,
    const SubsetLimits& limits) -> double
{
    const auto before = computeSubsets(entries, executors, limits);
    const auto& changing = entryLeaves ? entries : executors;
    auto added = 0.0;
    for (std::size_t i = 0; i < changing.size(); ++i) {
        auto rest = changing;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(i));
        added += addedPairs(
            before, entryLeaves ? computeSubsets(rest, executors, limits) : computeSubsets(entries, rest, limits));
    }
    return added / static_cast<double>(changing.size()) / pairCount(before);
}

auto run(int argc, char** argv) -> void
{
    TCLAP::CmdLine commandLine("Measures the spread and churn of connection subsets", ' ', "1");
    commandLine.parse(argc, argv);
    struct Size {
        int m_entries;
        int m_executors;
        int m_zones;
    };
    const SubsetLimits limits;
    std::printf("| entries | executors | zones | pairs | entries an executor | executors an entry, least-most | "
                "connections an executor, most | new pairs when an entry leaves %% | least possible %% | when an "
                "executor leaves %% |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto size : { Size { 9, 10, 4 }, Size { 42, 50, 14 }, Size { 126, 140, 14 } }) {
        const auto entries = makeMembers("e", size.m_entries, size.m_zones);
        const auto executors = makeMembers("x", size.m_executors, size.m_zones);
        const auto subsets = computeSubsets(entries, executors, limits);
        const auto spread = executorsPerEntry(subsets, entries);
        const auto entriesPerExecutor = static_cast<std::uint32_t>(subsets.begin()->second.size());
        const auto isFullMesh = static_cast<std::size_t>(entriesPerExecutor) == entries.size();
        std::printf("| %d | %d | %d | %d | %u | %d-%d | %u | %.2f | %.2f | %.2f |\n", size.m_entries, size.m_executors,
            size.m_zones, pairCount(subsets), entriesPerExecutor, spread.m_min, spread.m_max,
            limits.m_slots + entriesPerExecutor * spareConnections(limits, entriesPerExecutor),
            100 * churn(entries, executors, true, limits), isFullMesh ? 0.0 : 100.0 / size.m_entries,
            100 * churn(entries, executors, false, limits));
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        run(argc, argv);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "SubsetBench: %s\n", error.what());
        return 1;
    }
}
