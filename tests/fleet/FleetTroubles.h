#pragma once

#include "CallTroubles.h"
#include "StoreFaults.h"

#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace hemlockvane::fleetrun {

class FleetClients;
class FleetInstances;
class FleetMachines;
class FleetRecord;

/// @brief Disruptions, drawn by a seed. Each kind is played by a coroutine of its own, so that several overlap.
class FleetTroubles {
public:
    FleetTroubles(boost::asio::io_context& context, FleetRecord& record, FleetInstances& instances,
        FleetMachines& machines, FleetClients& clients, StoreFaults& store, std::uint64_t seed);

    /// @brief Begins the named kinds, joined by commas; an unknown name is ignored with a line in the record.
    auto play(std::string names, std::int64_t until) -> boost::asio::awaitable<void>;

    /// @brief Ends all disruptions that are going on.
    auto end() -> boost::asio::awaitable<void>;

private:
    using Kind = boost::asio::awaitable<void> (FleetTroubles::*)(std::int64_t until);

    auto idleCrash(std::int64_t until) -> boost::asio::awaitable<void>;
    auto blink(std::int64_t until) -> boost::asio::awaitable<void>;
    auto crash(std::int64_t until) -> boost::asio::awaitable<void>;
    auto cut(std::int64_t until) -> boost::asio::awaitable<void>;
    auto mute(std::int64_t until) -> boost::asio::awaitable<void>;
    auto lostAnswers(std::int64_t until) -> boost::asio::awaitable<void>;
    auto lateOrders(std::int64_t until) -> boost::asio::awaitable<void>;
    auto ownerKill(std::int64_t until) -> boost::asio::awaitable<void>;
    auto ownerPause(std::int64_t until) -> boost::asio::awaitable<void>;
    auto ownerTerm(std::int64_t until) -> boost::asio::awaitable<void>;
    auto storeTrouble(std::int64_t until) -> boost::asio::awaitable<void>;
    auto storeAway(std::int64_t until) -> boost::asio::awaitable<void>;
    auto listAway(std::int64_t until) -> boost::asio::awaitable<void>;
    auto hangAndLose(std::int64_t until) -> boost::asio::awaitable<void>;

    auto kindOf(std::string_view name) const -> Kind;
    auto pause(std::int64_t leastMs, std::int64_t mostMs) -> boost::asio::awaitable<void>;
    auto between(std::int64_t least, std::int64_t most) -> std::int64_t;
    [[nodiscard]] auto isOver(std::int64_t until) const -> bool;
    auto anyMachine() -> std::size_t;
    auto owner() -> std::size_t;

    boost::asio::io_context& m_context;
    FleetRecord& m_record;
    FleetInstances& m_instances;
    FleetMachines& m_machines;
    FleetClients& m_clients;
    StoreFaults& m_store;
    std::mt19937_64 m_random;
    CallTroubles m_calls;
    bool m_isOver = false;
};

} // namespace hemlockvane::fleetrun
