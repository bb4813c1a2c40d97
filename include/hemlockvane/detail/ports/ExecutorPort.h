#pragma once

#include "hemlockvane/detail/ports/CallOutcome.h"
#include "hemlockvane/detail/ports/LookOrder.h"
#include "hemlockvane/detail/ports/LookResult.h"
#include "hemlockvane/detail/ports/StartOrder.h"
#include "hemlockvane/scheduling/StartAnswer.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace hemlockvane::detail {

/// @brief Orders to executors.
class ExecutorPort {
public:
    virtual ~ExecutorPort() = default;

    /// @param address of the executor
    /// @param id names the intended incarnation's executor
    virtual auto start(std::string address, std::string id, StartOrder order)
        -> boost::asio::awaitable<scheduling::StartAnswer> = 0;
    virtual auto stop(std::string address, std::string id, scheduling::TaskKey task, std::uint32_t run,
        std::uint64_t epoch) -> boost::asio::awaitable<CallOutcome> = 0;
    virtual auto pace(std::string address, std::string id, scheduling::TaskKey task, std::uint32_t run,
        std::int32_t percent, std::uint64_t epoch) -> boost::asio::awaitable<CallOutcome> = 0;
    virtual auto look(std::string address, std::string id, LookOrder order) -> boost::asio::awaitable<LookResult> = 0;
};

} // namespace hemlockvane::detail
