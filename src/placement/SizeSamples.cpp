#include "hemlockvane/placement/SizeSamples.h"

#include <algorithm>
#include <span>

namespace hemlockvane {

namespace {

constexpr std::size_t minSamples = 8;
constexpr std::size_t quantilePercent = 90;
constexpr std::size_t wholePercent = 100;
constexpr std::int64_t wholePerMille = 1000;

auto quantile(std::array<std::int64_t, maxSizeSamples> values, std::size_t count) -> std::int64_t
{
    const auto rank = (count - 1) * quantilePercent / wholePercent;
    const auto end = values.begin() + static_cast<std::ptrdiff_t>(count);
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), nth, end);
    return *nth;
}

} // namespace

auto addSample(SizeSamples& samples, std::int64_t declared, std::int64_t peak) -> void
{
    const auto slot = samples.m_count % maxSizeSamples;
    samples.m_peaks[slot] = peak;
    samples.m_perMille[slot] = peak * wholePerMille / std::max<std::int64_t>(declared, 1);
    ++samples.m_count;
}

auto estimateSize(const SizeSamples& samples, std::int64_t declared) -> std::int64_t
{
    if (samples.m_count < minSamples)
        return declared;
    const auto count = std::min(samples.m_count, maxSizeSamples);
    const auto scaled = declared * quantile(samples.m_perMille, count) / wholePerMille;
    return std::max<std::int64_t>(1, std::min(quantile(samples.m_peaks, count), scaled));
}

} // namespace hemlockvane
