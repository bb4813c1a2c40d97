#include "hemlockvane/interference/MeasureInterference.h"

#include "hemlockvane/interference/InterferenceState.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace hemlockvane::interference {

namespace {

// The amounts change within seconds, so that evidence of this age counts half.
constexpr double halfLifeSeconds = 5;
constexpr double millisPerSecond = 1000;
// Fewer samples do not show a spread. Executors are sampled twice a second, so that a pair on four executors is known
// after one to two seconds.
constexpr double minimumSamples = 6;
constexpr double knownIncrease = 0.1; // Share of the target or estimate; less is within the spread of one image alone.
constexpr double keptIncrease = 0.05; // Lower, so that a verdict does not change to and fro.
constexpr double knownConfidence = 0.95;
constexpr double keptConfidence = 0.8;
constexpr double reportedChange = 0.5; // A verdict whose ratio differs by this share from the reported one has changed.
constexpr double minimumDeviation = 0.02; // Share of the target; measurements are rounded to whole milliseconds.
constexpr std::size_t maximumPairs = 256; // Sixteen images that all meet each other.

auto fade(DecayingSamples& samples, Instant now) -> void
{
    const auto seconds = static_cast<double>((now - samples.m_at).count()) / millisPerSecond;
    const auto factor = std::exp2(-std::max(seconds, 0.0) / halfLifeSeconds);
    samples.m_weight *= factor;
    samples.m_sum *= factor;
    samples.m_sumOfSquares *= factor;
    samples.m_at = now;
}

auto add(DecayingSamples& samples, double value, Instant now) -> void
{
    fade(samples, now);
    samples.m_weight += 1;
    samples.m_sum += value;
    samples.m_sumOfSquares += value * value;
}

auto difference(const DecayingSamples& all, const DecayingSamples& part) -> DecayingSamples
{
    return { all.m_weight - part.m_weight, all.m_sum - part.m_sum, all.m_sumOfSquares - part.m_sumOfSquares, all.m_at };
}

auto meanOf(const DecayingSamples& samples) -> double { return samples.m_sum / samples.m_weight; }

auto varianceOfMean(const DecayingSamples& samples) -> double
{
    const auto mean = meanOf(samples);
    const auto variance = samples.m_sumOfSquares / samples.m_weight - mean * mean;
    return std::max(variance, minimumDeviation * minimumDeviation) / samples.m_weight;
}

// Empty if there is too little evidence of either kind.
auto compare(const DecayingSamples& all, const DecayingSamples& beside) -> std::optional<InterferenceVerdict>
{
    const auto apart = difference(all, beside);
    if (beside.m_weight < minimumSamples || apart.m_weight < minimumSamples)
        return std::nullopt;
    InterferenceVerdict verdict;
    verdict.m_ratio = meanOf(beside) - meanOf(apart);
    const auto error = std::sqrt(varianceOfMean(beside) + varianceOfMean(apart));
    verdict.m_confidence = (1 + std::erf(verdict.m_ratio / error / std::sqrt(2.0))) / 2;
    verdict.m_samples = beside.m_weight;
    return verdict;
}

// Drops pairs without evidence, and those with the least if there are too many.
auto dropWeakest(InterferenceState& state) -> void
{
    std::erase_if(state.m_beside, [](const auto& item) { return item.second.m_weight < 1; });
    std::erase_if(state.m_all, [](const auto& item) { return item.second.m_weight < 1; });
    while (state.m_beside.size() > maximumPairs)
        state.m_beside.erase(std::min_element(state.m_beside.begin(), state.m_beside.end(),
            [](const auto& left, const auto& right) { return left.second.m_weight < right.second.m_weight; }));
}

auto holds(const std::optional<InterferenceVerdict>& found, bool isKnown) -> bool
{
    return found && found->m_ratio >= (isKnown ? keptIncrease : knownIncrease)
        && found->m_confidence >= (isKnown ? keptConfidence : knownConfidence);
}

auto harmOf(const InterferenceState& state, std::string_view affected, std::string_view other) -> double
{
    const auto found = state.m_verdicts.find({ std::string(affected), std::string(other) });
    return found == state.m_verdicts.end() ? 0 : found->second.m_ratio;
}

} // namespace

auto observe(InterferenceState& state, const std::string& affected, double ratio, std::span<const std::string> others,
    Instant now) -> void
{
    add(state.m_all[affected], ratio, now);
    for (const auto& other : others)
        add(state.m_beside[{ affected, other }], ratio, now);
}

auto judge(InterferenceState& state, Instant now) -> std::vector<InterferenceChange>
{
    for (auto& [image, samples] : state.m_all)
        fade(samples, now);
    for (auto& [pair, samples] : state.m_beside)
        fade(samples, now);
    dropWeakest(state);
    std::vector<InterferenceChange> changes;
    std::erase_if(state.m_verdicts, [&](const auto& item) {
        const auto beside = state.m_beside.find(item.first);
        if (beside != state.m_beside.end() && holds(compare(state.m_all[item.first.m_affected], beside->second), true))
            return false;
        changes.push_back({ item.first, {} });
        return true;
    });
    for (const auto& [pair, samples] : state.m_beside) {
        const auto known = state.m_verdicts.find(pair);
        auto found = compare(state.m_all[pair.m_affected], samples);
        if (!holds(found, known != state.m_verdicts.end()))
            continue;
        found->m_knownSince = known == state.m_verdicts.end() ? now : known->second.m_knownSince;
        const auto before = known == state.m_verdicts.end() ? 0 : known->second.m_ratio;
        if (std::abs(found->m_ratio - before) <= reportedChange * before)
            continue;
        state.m_verdicts.insert_or_assign(pair, *found);
        changes.push_back({ pair, *found });
    }
    return changes;
}

auto knownHarm(const InterferenceState& state, std::string_view first, std::string_view second) -> double
{
    return harmOf(state, first, second) + (first == second ? 0 : harmOf(state, second, first));
}

} // namespace hemlockvane::interference
