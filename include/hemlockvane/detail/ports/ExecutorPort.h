#pragma once

#include "hemlockvane/detail/ports/CallOutcome.h"
#include "hemlockvane/detail/ports/PollRequest.h"
#include "hemlockvane/detail/ports/PollResult.h"
#include "hemlockvane/detail/ports/StartRequest.h"
#include "hemlockvane/scheduling/StartAnswer.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace hemlockvane::detail {

/// @brief Requests to executors.
class ExecutorPort {
public:
    virtual ~ExecutorPort() = default;

    /// @param address address of the executor
    /// @param id id of the intended executor
    /// @param mayBeSent called right before the request is sent, which may be long after the call
    /// @result NotSent if `mayBeSent` has returned false
    virtual auto start(std::string address, std::string id, StartRequest order, std::function<bool()> mayBeSent)
        -> boost::asio::awaitable<scheduling::StartAnswer> = 0;
    /// @param mayBeSent as for `start`
    virtual auto stop(std::string address, std::string id, scheduling::TaskKey task, std::uint32_t run,
        std::uint64_t fencingToken, std::function<bool()> mayBeSent) -> boost::asio::awaitable<CallOutcome> = 0;
    virtual auto pace(std::string address, std::string id, scheduling::TaskKey task, std::uint32_t run,
        std::int32_t percent, std::uint64_t fencingToken) -> boost::asio::awaitable<CallOutcome> = 0;
    virtual auto poll(std::string address, std::string id, PollRequest order) -> boost::asio::awaitable<PollResult> = 0;
};

} // namespace hemlockvane::detail
