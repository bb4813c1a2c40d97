#pragma once

#include "hemlockvane/detail/ports/MachineOutcome.h"
#include "hemlockvane/fleet/Machine.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief The platform's interface to machines: list, move, maintenance.
class MachinePort {
public:
    virtual ~MachinePort() = default;

    /// @result empty without a complete answer
    virtual auto list() -> boost::asio::awaitable<std::optional<std::vector<fleet::Machine>>> = 0;
    /// @param mayBeSent called right before the order is sent, which may be long after the call
    /// @result Refused if `mayBeSent` has returned false
    virtual auto move(std::string machine, std::string pool, std::uint64_t epoch, std::function<bool()> mayBeSent)
        -> boost::asio::awaitable<MachineOutcome> = 0;
    /// @param mayBeSent as for `move`
    virtual auto maintain(std::string machine, std::uint64_t wave, std::uint64_t epoch, std::function<bool()> mayBeSent)
        -> boost::asio::awaitable<MachineOutcome> = 0;
};

} // namespace hemlockvane::detail
