#pragma once

#include "ExecutorFaults.h"
#include "ExecutorPlace.h"
#include "StepFacts.h"

#include "hemlockvane/detail/http/HttpRequest.h"
#include "standins/StandinAnswer.h"
#include "standins/StandinServer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace hemlockvane::fleetrun {

class FleetRecord;
struct StartedRun;

/// @brief An executor of the users' platform, as their pages describe it. It may end and start again under its id.
class FleetExecutor : public std::enable_shared_from_this<FleetExecutor> {
public:
    /// @param facts of all steps; grows during the play
    FleetExecutor(boost::asio::io_context& context, ExecutorPlace place, FleetRecord& record, const FactsByStep& facts,
        std::uint64_t seed);
    ~FleetExecutor();
    FleetExecutor(const FleetExecutor&) = delete;
    auto operator=(const FleetExecutor&) -> FleetExecutor& = delete;

    /// @brief Begins a life, with nothing known of earlier ones.
    /// @result false if its address can't be listened on
    auto start() -> bool;

    /// @brief Lets its clock go at this rate of the true one from now on, without a step.
    auto setClockRate(double rate) -> void;

    /// @brief Ends at once, with everything that runs.
    auto crash() -> void;

    /// @brief Loses power: all that runs ends, connections stay open without a word, and the next life carries out the
    /// calls that arrive meanwhile.
    auto goDark() -> void;

    [[nodiscard]] auto place() const -> const ExecutorPlace& { return m_place; }
    [[nodiscard]] auto isUp() const -> bool { return m_isUp; }
    [[nodiscard]] auto runCount() const -> std::size_t { return m_active.size(); }
    [[nodiscard]] auto usedCpu() const -> std::int64_t { return m_usedCpu; }
    [[nodiscard]] auto entry() -> std::string; ///< What it writes to the registry.

    ExecutorFaults m_faults;
    bool m_isDraining = false;
    std::function<std::string(std::int64_t fence)> m_starterOf; ///< The instance that orders with this fencing token.

private:
    using RunKey = std::pair<std::string, std::int64_t>;

    struct Active {
        StartedRun* m_run = nullptr;
        std::int64_t m_endsAt = 0; ///< On its clock.
        std::string m_how;
        std::int64_t m_cpu = 0;
        std::int64_t m_memoryMb = 0;
        bool m_isLasting = false;
    };

    struct Ended {
        std::int64_t m_number = 0;
        RunKey m_key;
        std::string m_how;
        StartedRun* m_run = nullptr;
    };

    auto handle(detail::HttpRequest request) -> boost::asio::awaitable<standins::StandinAnswer>;
    auto endLife(const std::string& how) -> void;
    auto awaitPower() -> boost::asio::awaitable<void>;
    auto carryOutLate(detail::HttpRequest request, std::optional<std::uint64_t> life) -> boost::asio::awaitable<void>;
    auto awaitReachable(bool ExecutorFaults::*fault, std::uint64_t life) -> boost::asio::awaitable<void>;
    auto carryOut(const std::string& path, const boost::json::object& body, bool isLate)
        -> boost::asio::awaitable<standins::StandinAnswer>;
    auto startRun(const boost::json::object& body, bool isLate) -> standins::StandinAnswer;
    auto stopRun(const boost::json::object& body) -> void;
    auto hold(const boost::json::object& body) -> boost::asio::awaitable<standins::StandinAnswer>;
    auto answer(unsigned status, boost::json::object more) const -> standins::StandinAnswer;
    auto extendLease(const boost::json::object& body) -> void;
    auto endDue() -> void;
    auto tick(std::uint64_t life) -> boost::asio::awaitable<void>;
    auto endRun(std::map<RunKey, Active>::iterator item, const std::string& how) -> std::map<RunKey, Active>::iterator;
    auto clockMs() const -> std::int64_t;
    auto draw(double probability) -> bool;

    boost::asio::io_context& m_context;
    ExecutorPlace m_place;
    FleetRecord& m_record;
    const FactsByStep& m_facts;
    std::mt19937_64 m_random;
    std::unique_ptr<standins::StandinServer> m_server;
    bool m_isUp = false;
    bool m_isDark = false;
    std::uint64_t m_life = 0;
    std::int64_t m_bornUnixMs = 0;
    std::int64_t m_clockSetAt = 0;
    double m_clockAtSet = 0;
    double m_clockRate = 1;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_sequence = 0;
    std::int64_t m_usedCpu = 0;
    std::int64_t m_usedMemoryMb = 0;
    std::map<RunKey, Active> m_active;
    std::deque<Ended> m_ended;
    std::map<std::string, std::int64_t> m_highestEnded; ///< By task: highest run that was stopped or ended here.
};

} // namespace hemlockvane::fleetrun
