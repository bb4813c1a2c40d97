#pragma once

#include "FleetJob.h"
#include "FleetLoad.h"
#include "FleetSite.h"
#include "StepFacts.h"

#include "hemlockvane/detail/http/HttpPool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

class FleetInstances;
class FleetRecord;

/// @brief The users' clients: they submit jobs, ask for their states, and keep their connections open.
class FleetClients {
public:
    static constexpr const char* host = "pule25.example";
    static constexpr const char* key = "sjnbanfqasnmgkcuyj8p";

    FleetClients(boost::asio::io_context& context, FleetRecord& record, FleetInstances& instances, FactsByStep& facts,
        FleetSite site, FleetLoad load, std::uint64_t seed);

    /// @brief Sends the load until `until`, in ms since the begin of the play.
    auto play(std::int64_t until) -> boost::asio::awaitable<void>;

    /// @brief Asks for all jobs that have not been shown as ended, until they are or until the given time.
    auto awaitEnds(std::int64_t until) -> boost::asio::awaitable<void>;

    /// @brief Checks, beside the load, that no request on a connection that is kept open is cut by planned work.
    auto watchRequests(std::int64_t until) -> void;

    /// @brief Checks that each task that lasts ran again in time.
    auto checkLasting() -> void;

    /// @result the queue whose turn it is, and when the next turn begins
    [[nodiscard]] auto queueInTurn(std::int64_t at) const -> std::size_t;
    [[nodiscard]] auto serviceInTurn(std::int64_t at) const -> std::string;
    [[nodiscard]] auto nextTurnAt(std::int64_t at) const -> std::int64_t;

    std::deque<FleetJob> m_jobs;
    std::vector<std::string> m_violations; ///< Of rules that a client can see at once.

private:
    auto submitJobs(std::size_t pool, std::int64_t until) -> boost::asio::awaitable<void>;
    auto runJob(FleetJob& job, std::int64_t workMs) -> boost::asio::awaitable<void>;
    auto submit(FleetJob& job) -> boost::asio::awaitable<void>;
    auto askState(FleetJob& job) -> boost::asio::awaitable<bool>;
    auto keepAsking(std::size_t instance, std::int64_t until) -> boost::asio::awaitable<void>;
    auto noteCut(std::size_t instance, const std::string& request, std::int64_t sentAt) -> void;
    auto newJob(const PoolSite& pool, bool isLasting) -> FleetJob&;
    auto quickStep(FleetJob& job, const PoolSite& pool, std::size_t step, bool isLast) -> boost::json::object;
    auto lastingStep(FleetJob& job, const PoolSite& pool) -> boost::json::object;
    auto drawAbout(double mean, double spread, double most) -> double;
    auto submitLasting(const PoolSite& pool) -> boost::asio::awaitable<void>;
    auto call(std::string method, const FleetJob& job) -> boost::asio::awaitable<std::optional<detail::HttpResponse>>;

    boost::asio::io_context& m_context;
    FleetRecord& m_record;
    FleetInstances& m_instances;
    FactsByStep& m_facts;
    FleetSite m_site;
    FleetLoad m_load;
    std::mt19937_64 m_random;
    detail::HttpPool m_pool;
};

} // namespace hemlockvane::fleetrun
