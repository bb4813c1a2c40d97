#include "hemlockvane/membership/Duties.h"

#include "hemlockvane/log/Snapshot.h"

#include <algorithm>
#include <utility>

namespace hemlockvane {

namespace {

// Finalizer of splitmix64. Spreads the low entropy of an FNV hash's last bytes over all bits.
auto mix(std::uint64_t value) -> std::uint64_t
{
    constexpr std::uint64_t firstFactor = 0xbf58476d1ce4e5b9ULL;
    constexpr std::uint64_t secondFactor = 0x94d049bb133111ebULL;
    constexpr int firstShift = 30;
    constexpr int secondShift = 27;
    constexpr int thirdShift = 31;
    value = (value ^ (value >> firstShift)) * firstFactor;
    value = (value ^ (value >> secondShift)) * secondFactor;
    return value ^ (value >> thirdShift);
}

auto rendezvousScore(std::string_view subject, std::string_view candidate) -> std::pair<std::uint64_t, std::string_view>
{
    return { mix(hashBytes(subject, hashBytes(candidate))), candidate };
}

} // namespace

auto claimsDuty(std::uint32_t slot) -> std::string { return "claims/" + std::to_string(slot); }

auto escrowDuty(std::uint32_t slot) -> std::string { return "escrow/" + std::to_string(slot); }

auto dutyNames(const DutyCounts& counts) -> std::vector<std::string>
{
    std::vector<std::string> names { std::string(placementDuty), std::string(maintenanceDuty),
        std::string(snapshotsDuty) };
    for (std::uint32_t slot = 0; slot < counts.m_claimSlots; ++slot)
        names.push_back(claimsDuty(slot));
    for (std::uint32_t slot = 0; slot < counts.m_escrowSlots; ++slot)
        names.push_back(escrowDuty(slot));
    return names;
}

auto rendezvousRank(std::string_view subject, std::span<const std::string> candidates, std::string_view candidate)
    -> std::size_t
{
    const auto own = rendezvousScore(subject, candidate);
    const auto comesBefore = [&](const std::string& other) { return rendezvousScore(subject, other) > own; };
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), comesBefore));
}

} // namespace hemlockvane
