#pragma once

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling.pb.h"
#include "hemlockvane/scheduling/FleetRules.h"
#include "shell/coordinator/MemoryStore.h"
#include "shell/coordinator/ScriptedExecutors.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/TestFixture.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockvane::detail {

/// @brief An owner over a store in memory and scripted executors of one pool.
class OwnerFixture : public CppUnit::TestFixture {
public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        m_memory = {};
        m_executors = {};
        m_spec = {};
        m_rules = {};
        m_rules.m_queues["checks"] = { "orders", 0, 4, 2.0, 600, false };
        m_spec.m_steps.resize(1);
        submit(job);
    }

    auto tearDown() -> void override
    {
        m_coordinator->stop();
        m_context->stop();
        m_context.reset();
    }

protected:
    static constexpr scheduling::JobId job = 7;

    auto submit(scheduling::JobId id) -> void
    {
        wire::SubmissionRecord record;
        record.set_queue("checks");
        m_memory.m_topics[submissionTopic].push_back(
            encodeKeyedRecord(submissionPrefix + jobIdText(id), record.SerializeAsString()));
    }

    /// @brief Appends to the registry. Unless the test decodes them otherwise, entries contain only the start time.
    auto list(const std::string& id, const std::string& startedAt) -> void
    {
        m_memory.m_topics[m_executorTopic].push_back(encodeKeyedRecord(id, startedAt));
    }

    auto own(std::uint64_t epoch, Instant earlierLeasesExpireBy) -> void
    {
        CoordinatorPorts ports;
        ports.m_store = &m_memory;
        ports.m_storeLimits = m_memory.m_limits;
        ports.m_executors = &m_executors;
        ports.m_machines = m_machines;
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [] { return monotonicNow(); };
        ports.m_executorTopic = m_executorTopic;
        ports.m_earlierLeasesExpireBy = earlierLeasesExpireBy;
        ports.m_decoders.m_job = [this](std::string_view) { return std::optional(m_spec); };
        ports.m_decoders.m_executor = m_decodeExecutor;
        m_coordinator = std::make_shared<Coordinator>(*m_context, ports, epoch);
        m_coordinator->start(m_rules);
    }

    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        for (int round = 0; round < maximumRounds && !condition(); ++round)
            m_context->run_for(roundTime);
    }

    /// @brief Runs for longer than two reads of the registry take.
    auto settle() -> void
    {
        for (int round = 0; round < settleRounds; ++round)
            m_context->run_for(roundTime);
    }

    const std::string m_executorTopic = "keyed.executors";
    std::unique_ptr<boost::asio::io_context> m_context;
    MemoryStore m_memory;
    ScriptedExecutors m_executors;
    Metrics m_metrics;
    MachinePort* m_machines = nullptr;
    scheduling::JobSpec m_spec; ///< Of all jobs.
    scheduling::FleetRules m_rules;
    std::function<std::optional<scheduling::ExecutorEntry>(std::string_view, std::string_view)> m_decodeExecutor
        = executorEntry;
    std::shared_ptr<Coordinator> m_coordinator;

private:
    static constexpr Duration roundTime { 10 };
    static constexpr int maximumRounds = 500;
    static constexpr int settleRounds = 60;

    static auto executorEntry(std::string_view id, std::string_view startedAt)
        -> std::optional<scheduling::ExecutorEntry>
    {
        scheduling::ExecutorEntry entry;
        entry.m_id = id;
        entry.m_startedAtMs = std::stoi(std::string(startedAt));
        entry.m_service = "orders";
        entry.m_capacity = { 8000, 16000, 0 };
        return entry;
    }
};

} // namespace hemlockvane::detail
