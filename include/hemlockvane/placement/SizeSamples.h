#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace hemlockvane {

/// @brief Number of ended attempts whose peak usage is kept for each team and queue.
inline constexpr std::size_t maxSizeSamples = 64;

/// @brief Ring buffer of peak usages of one resource, absolute and relative to the declared size.
struct SizeSamples {
    std::array<std::int64_t, maxSizeSamples> m_peaks {};
    std::array<std::int64_t, maxSizeSamples> m_perMille {}; ///< Peak divided by declared size, in thousandths.
    std::size_t m_count = 0; ///< Samples added in total.
};

/// @brief Adds the peak usage of one attempt.
auto addSample(SizeSamples& samples, std::int64_t declared, std::int64_t peak) -> void;

/// @brief Amount to reserve for a job: the smaller of the 90 % quantile of the peaks and the declared size scaled by
/// the 90 % quantile of the ratios.
/// @result the declared size while there are too few samples
/// @complexity linear in the samples kept
auto estimateSize(const SizeSamples& samples, std::int64_t declared) -> std::int64_t;

} // namespace hemlockvane
