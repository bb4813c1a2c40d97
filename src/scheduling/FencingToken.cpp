#include "hemlockvane/scheduling/FencingToken.h"

#include "hemlockvane/scheduling/Executor.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

// More lives than an executor has within one ownership. Epochs are offsets of records, so that the product stays below
// 2^53, up to which numbers are exact in JSON.
constexpr std::uint64_t tokensPerEpoch = 1U << 20U;

} // namespace

auto fencingToken(std::uint64_t epoch, const Executor& executor) -> std::uint64_t
{
    return epoch * tokensPerEpoch + std::min<std::uint64_t>(executor.m_lifeNumber, tokensPerEpoch - 1);
}

} // namespace hemlockvane::scheduling
