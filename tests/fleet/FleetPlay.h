#pragma once

#include "FleetClients.h"
#include "FleetInstances.h"
#include "FleetMachines.h"
#include "FleetOptions.h"
#include "FleetRecord.h"
#include "FleetTroubles.h"
#include "PlannedTroubles.h"

#include "review/standin/Store.hh"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

/// @brief One play, from the start of the processes to the verdict.
class FleetPlay {
public:
    explicit FleetPlay(FleetOptions options);

    /// @result 0 if the rules held, 1 if one was broken, 2 if the play could not be run
    auto run() -> int;

private:
    [[nodiscard]] auto port(int which) const -> std::uint16_t;
    auto starterOf(std::int64_t fence) -> std::string;
    auto awaitReady() -> boost::asio::awaitable<bool>;
    auto play() -> boost::asio::awaitable<void>;
    auto judge() -> void;
    [[nodiscard]] auto findLost() const -> std::vector<std::string>;

    FleetOptions m_options;
    FleetSite m_site;
    int m_exitCode = 2;
    boost::asio::io_context m_context;
    FactsByStep m_facts;
    FleetRecord m_record { m_options.m_folder + "/record.txt" };
    review::Record m_storeRecord { m_options.m_folder + "/store.txt" };
    review::Store m_store { m_storeRecord };
    StoreFaults m_storeFaults;
    review::Server m_storeServer;
    FleetInstances m_instances { m_record, m_options.m_program, m_options.m_folder, m_options.m_basePort };
    FleetMachines m_machines { m_context, m_record, m_facts,
        [this](const std::string& id, const std::string& entry) { m_store.put("keyed.servers", id, entry); },
        m_options.m_seed };
    standins::StandinServer m_machineServer { m_context,
        [this](detail::HttpRequest request) { return m_machines.handle(std::move(request)); } };
    FleetClients m_clients { m_context, m_record, m_instances, m_facts, m_site, m_options.m_load,
        m_options.m_seed + 1 };
    FleetTroubles m_troubles { m_context, m_record, m_instances, m_machines, m_clients, m_storeFaults,
        m_options.m_seed + 2 };
    PlannedTroubles m_planned;
};

} // namespace hemlockvane::fleetrun
