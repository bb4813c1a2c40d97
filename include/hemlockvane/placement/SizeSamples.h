#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace hemlockvane {

/// @brief Ended attempts whose peak usage is remembered for each team and queue.
inline constexpr std::size_t maxSizeSamples = 64;

/// @brief Peak usage of one resource, absolute and in relation to what was declared, newest overwriting oldest.
struct SizeSamples {
    std::array<std::int64_t, maxSizeSamples> m_peaks {};
    std::array<std::int64_t, maxSizeSamples> m_perMille {}; ///< Peak over declared size.
    std::size_t m_count = 0; ///< Samples ever added.
};

/// @brief Adds one attempt's peak.
auto addSample(SizeSamples& samples, std::int64_t declared, std::int64_t peak) -> void;

/// @brief Size to reserve for a job: the smaller of two 90 % quantiles, absolute and scaled from the declared size.
/// @result the declared size while there are too few samples
/// @complexity linear in the samples kept
auto estimateSize(const SizeSamples& samples, std::int64_t declared) -> std::int64_t;

} // namespace hemlockvane
