#include "hemlockvane/detail/coordinator/LoadState.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "shell/coordinator/DisconnectableStore.h"
#include "shell/coordinator/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <memory>
#include <optional>

namespace hemlockvane::detail {

class LoadStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadStateTest);
    CPPUNIT_TEST(load_storeAnswers_readsTopicsConcurrently);
    CPPUNIT_TEST(load_newerOwnerFenced_isRefused);
    CPPUNIT_TEST(load_storeUnavailableForAWhile_resumesAfterwards);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        m_memory = std::make_unique<MemoryStore>();
        m_store = std::make_unique<DisconnectableStore>(*m_memory);
        m_result.reset();
    }

    auto load_storeAnswers_readsTopicsConcurrently() -> void
    {
        load(1);
        run();
        CPPUNIT_ASSERT(m_result == true);
        CPPUNIT_ASSERT(m_store->m_maximumConcurrentReads >= 2);
    }

    auto load_newerOwnerFenced_isRefused() -> void
    {
        load(2);
        run();
        m_result.reset();
        load(1);
        run();
        CPPUNIT_ASSERT(m_result == false);
    }

    auto load_storeUnavailableForAWhile_resumesAfterwards() -> void
    {
        m_memory->m_isDown = true;
        load(1);
        m_context->run_for(Duration(50));
        CPPUNIT_ASSERT(!m_result);
        m_memory->m_isDown = false;
        run();
        CPPUNIT_ASSERT(m_result == true);
    }

private:
    auto load(std::uint64_t epoch) -> void
    {
        CoordinatorPorts ports;
        ports.m_store = m_store.get();
        ports.m_metrics = &m_metrics;
        ports.m_executorTopic = "keyed.executors";
        const auto state = std::make_shared<CoordinatorState>(*m_context, ports, epoch);
        boost::asio::co_spawn(
            *m_context, loadState(state), [this](const std::exception_ptr&, bool isLoaded) { m_result = isLoaded; });
    }

    auto run() -> void
    {
        m_context->restart();
        for (int round = 0; !m_result && round < 500; ++round)
            m_context->run_for(Duration(10));
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<MemoryStore> m_memory;
    std::unique_ptr<DisconnectableStore> m_store;
    Metrics m_metrics;
    std::optional<bool> m_result;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadStateTest);

} // namespace hemlockvane::detail
