#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

struct Executor;

/// @brief Token of an owner's requests to the present life of an executor.
///
/// It is higher than those of earlier owners, and than those of this owner's requests to earlier lives. An executor
/// refuses a token that is lower than one it has seen: once the present life has answered, requests that were meant for
/// earlier lives have no effect there any more, however late they arrive.
/// @param epoch of the owner
[[nodiscard]] auto fencingToken(std::uint64_t epoch, const Executor& executor) -> std::uint64_t;

} // namespace hemlockvane::scheduling
