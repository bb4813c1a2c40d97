#include "hemlockvane/ingress/ChooseToClose.h"

#include "hemlockvane/ingress/ConnectionUse.h"

namespace hemlockvane::ingress {

namespace {

template <typename Predicate>
auto oldest(std::span<const ConnectionUse> uses, Predicate isEligible) -> std::optional<std::size_t>
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < uses.size(); ++i) {
        if (isEligible(uses[i]) && (!found || uses[i].m_since < uses[*found].m_since))
            found = i;
    }
    return found;
}

} // namespace

auto chooseForMemory(std::span<const ConnectionUse> uses) -> std::optional<std::size_t>
{
    return oldest(
        uses, [](const ConnectionUse& use) { return use.m_phase == ConnectionPhase::Receiving && use.m_bytes > 0; });
}

auto chooseForConnection(std::span<const ConnectionUse> uses, Instant startedBefore) -> std::optional<std::size_t>
{
    const auto oldestOf = [&](ConnectionPhase phase) {
        return oldest(
            uses, [&](const ConnectionUse& use) { return use.m_phase == phase && use.m_since < startedBefore; });
    };
    const auto receiving = oldestOf(ConnectionPhase::Receiving);
    return receiving ? receiving : oldestOf(ConnectionPhase::Idle);
}

} // namespace hemlockvane::ingress
