#pragma once

#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string_view>

namespace hemlockvane::fleetrun {

class FleetExecutor;
class FleetMachines;
class FleetRecord;
struct ExecutorFaults;

/// @brief Disruptions of the calls to executors, drawn by a seed.
class CallTroubles {
public:
    CallTroubles(boost::asio::io_context& context, FleetRecord& record, FleetMachines& machines, std::uint64_t seed);

    /// @brief Begins the named kind.
    /// @result false if there is none of this name
    auto play(std::string_view name, std::int64_t until) -> bool;

    /// @brief Begins no further disruption.
    auto end() -> void { m_isOver = true; }

private:
    using Kind = boost::asio::awaitable<void> (CallTroubles::*)(std::int64_t until);

    auto paused(std::int64_t until) -> boost::asio::awaitable<void>;
    auto longMute(std::int64_t until) -> boost::asio::awaitable<void>;
    auto slowClocks(std::int64_t until) -> boost::asio::awaitable<void>;
    auto slowStops(std::int64_t until) -> boost::asio::awaitable<void>;
    auto slowAnswers(std::int64_t until) -> boost::asio::awaitable<void>;
    auto refusals(std::int64_t until) -> boost::asio::awaitable<void>;
    auto errors(std::int64_t until) -> boost::asio::awaitable<void>;
    auto failures(std::int64_t until) -> boost::asio::awaitable<void>;
    auto lapses(std::int64_t until) -> boost::asio::awaitable<void>;
    auto reborn(std::int64_t until) -> boost::asio::awaitable<void>;
    auto recut(std::int64_t until) -> boost::asio::awaitable<void>;
    auto recutSoon(std::int64_t until) -> boost::asio::awaitable<void>;
    auto recutZones(std::int64_t until, std::int64_t leastUpMs, std::int64_t mostUpMs) -> boost::asio::awaitable<void>;
    auto recutOne(std::size_t machine, std::int64_t upMs) -> boost::asio::awaitable<void>;

    auto setAll(double ExecutorFaults::*fault, double value) -> void;
    auto setInTurns(double ExecutorFaults::*fault, double value, std::int64_t until) -> boost::asio::awaitable<void>;
    auto pause(std::int64_t leastMs, std::int64_t mostMs) -> boost::asio::awaitable<void>;
    auto between(std::int64_t least, std::int64_t most) -> std::int64_t;
    auto isOver(std::int64_t until) const -> bool;
    auto atWork() -> std::shared_ptr<FleetExecutor>;

    boost::asio::io_context& m_context;
    FleetRecord& m_record;
    FleetMachines& m_machines;
    std::mt19937_64 m_random;
    bool m_isOver = false;
};

} // namespace hemlockvane::fleetrun
