#include "hemlockvane/limits/EscrowResource.h"

namespace hemlockvane {

namespace {

constexpr std::string_view teamPrefix = "team/";
constexpr std::string_view slotsPrefix = "slots/";
constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;

auto hashText(std::string_view text) -> std::uint64_t
{
    auto hash = fnvOffset;
    for (const auto character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    return hash;
}

// The part of a resource's name that selects its duty: the name without the executor.
auto dutyPart(std::string_view resource) -> std::string_view
{
    if (!resource.starts_with(slotsPrefix))
        return resource;
    return resource.substr(0, resource.find('/', slotsPrefix.size()));
}

} // namespace

auto teamLimitResource(std::string_view team) -> std::string { return std::string(teamPrefix).append(team); }

auto executorSlotsResource(std::string_view service, std::string_view executor) -> std::string
{
    return serviceDemandResource(service).append("/").append(executor);
}

auto serviceDemandResource(std::string_view service) -> std::string { return std::string(slotsPrefix).append(service); }

auto escrowDuty(std::string_view resource) -> std::string
{
    return "escrow/" + std::to_string(hashText(dutyPart(resource)) % escrowDutyCount);
}

} // namespace hemlockvane
