#pragma once

#include "FleetMachine.h"
#include "FleetSite.h"

#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

class FleetRecord;

/// @brief The platform's machines, their executors and the interface through which they are listed and ordered.
class FleetMachines {
public:
    using Publish = std::function<void(const std::string& id, const std::string& entry)>;

    /// @param publish writes an entry of the registry; an empty one removes it
    FleetMachines(boost::asio::io_context& context, FleetRecord& record, const FactsByStep& facts, Publish publish,
        std::uint64_t seed);

    /// @param port of all executors
    auto addPools(const FleetSite& site, std::uint16_t port) -> bool;
    auto handle(detail::HttpRequest request) -> boost::asio::awaitable<standins::StandinAnswer>;
    auto heartbeats() -> boost::asio::awaitable<void>;

    /// @brief Ends an executor and lets it begin again under its id after `down`, unless its machine was ordered away.
    auto crashAndReturn(std::size_t machine, Duration down) -> boost::asio::awaitable<void>;

    /// @brief As `crashAndReturn`, but by a loss of power.
    /// @param isListedAtOnce otherwise the registry shows the new life only by its next heartbeat
    auto goDarkAndReturn(std::size_t machine, Duration down, bool isListedAtOnce) -> boost::asio::awaitable<void>;

    /// @brief Takes the power of a machine for good.
    auto lose(std::size_t machine) -> void;

    auto machines() -> std::vector<FleetMachine>& { return m_machines; }

    std::function<std::string(std::int64_t)> m_starterOf;
    std::map<std::int64_t, std::set<std::string>> m_waves; ///< Machines of each wave.
    std::function<bool()> m_isStoreAway;
    bool m_doEntriesExpire = false; ///< Also while the store is away.
    bool m_isBusy = false; ///< Lists and orders are refused.
    Duration m_listDelay { 0 }; ///< From the state that a list shows to its answer.
    bool m_loseAnswers = false; ///< Orders are carried out and not answered.

private:
    struct Beat {
        std::int64_t m_sentAt = 0;
        std::int64_t m_storedAt = 0;
        bool m_hasExpired = false;
    };

    auto newExecutor(FleetMachine& machine) -> bool;
    auto returnAfter(std::size_t machine, Duration down, bool isListedAtOnce) -> boost::asio::awaitable<void>;
    auto order(const detail::HttpRequest& request, bool isMove) -> standins::StandinAnswer;
    auto takeAway(std::size_t index, const std::string& state, Duration time) -> boost::asio::awaitable<void>;
    auto publish(const FleetExecutor& executor) -> void;
    auto expire(const std::string& id, Beat& beat) -> void;

    boost::asio::io_context& m_context;
    FleetRecord& m_record;
    const FactsByStep& m_facts;
    Publish m_publish;
    std::mt19937_64 m_random;
    FleetSite m_site;
    std::vector<FleetMachine> m_machines;
    std::vector<std::shared_ptr<FleetExecutor>> m_pastExecutors;
    std::map<std::string, Beat> m_beats; ///< By id of an executor.
    std::int64_t m_storeAwayAt = 0; ///< When it was last seen away.
};

} // namespace hemlockvane::fleetrun
