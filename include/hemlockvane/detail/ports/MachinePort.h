#pragma once

#include "hemlockvane/detail/ports/MachineOutcome.h"
#include "hemlockvane/fleet/Machine.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
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
    virtual auto move(std::string machine, std::string pool, std::uint64_t epoch)
        -> boost::asio::awaitable<MachineOutcome> = 0;
    virtual auto maintain(std::string machine, std::uint64_t wave, std::uint64_t epoch)
        -> boost::asio::awaitable<MachineOutcome> = 0;
};

} // namespace hemlockvane::detail
