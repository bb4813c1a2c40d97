#pragma once

#include "FleetSite.h"

#include "hemlockvane/time/Time.h"
#include "review/standin/Store.hh"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace hemlockvane::fleetrun {

class FleetInstances;
class FleetMachines;
class FleetRecord;

/// @brief Planned work on the instances, the configuration and the machines, drawn by a seed.
class PlannedTroubles {
public:
    /// @param configuration the first one, as the store has it
    PlannedTroubles(boost::asio::io_context& context, FleetRecord& record, FleetInstances& instances,
        FleetMachines& machines, review::Store& store, std::string configuration, std::uint64_t seed);

    /// @brief Begins those of the named kinds, joined by commas, that are known here.
    auto play(std::string names, std::int64_t until) -> void;

private:
    using Kind = boost::asio::awaitable<void> (PlannedTroubles::*)(std::int64_t until);

    auto terms(std::int64_t until) -> boost::asio::awaitable<void>;
    auto stopAndStart(std::size_t instance) -> boost::asio::awaitable<void>;
    auto hangups(std::int64_t until) -> boost::asio::awaitable<void>;
    auto configurations(std::int64_t until) -> boost::asio::awaitable<void>;
    auto waves(std::int64_t until) -> boost::asio::awaitable<void>;
    auto leaving(std::int64_t until) -> boost::asio::awaitable<void>;
    auto leave(std::size_t machine) -> boost::asio::awaitable<void>;
    auto evacuations(std::int64_t until) -> boost::asio::awaitable<void>;
    auto hostileClients(std::int64_t until) -> boost::asio::awaitable<void>;
    auto attack(std::string address, std::size_t kind) -> boost::asio::awaitable<void>;
    auto largeJobs(std::int64_t until) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto firstRack(const std::string& service) const -> std::string;
    auto submitLargeJob(std::size_t kind, std::int64_t number) -> boost::asio::awaitable<void>;
    auto lostOrders(std::int64_t until) -> boost::asio::awaitable<void>;

    auto between(std::int64_t least, std::int64_t most) -> std::int64_t;
    auto pause(std::int64_t leastMs, std::int64_t mostMs) -> boost::asio::awaitable<void>;

    boost::asio::io_context& m_context;
    FleetRecord& m_record;
    FleetInstances& m_instances;
    FleetMachines& m_machines;
    review::Store& m_store;
    boost::json::object m_configuration;
    std::mt19937_64 m_random;
};

} // namespace hemlockvane::fleetrun
