#include "hemlockvane/detail/logging/BoundedSink.h"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/logger.h>

#include <fcntl.h>
#include <memory>
#include <unistd.h>

namespace hemlockvane::detail {

class BoundedSinkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BoundedSinkTest);
    CPPUNIT_TEST(lines_flushed_areWritten);
    CPPUNIT_TEST(lines_beyondCapacity_areCountedAndReported);
    CPPUNIT_TEST(flush_readerDoesNotRead_doesNotBlock);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        CPPUNIT_ASSERT_EQUAL(0, pipe(m_pipe));
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        m_sink = std::make_shared<BoundedSink>(m_pipe[1], bound);
        m_log = std::make_unique<spdlog::logger>("test", m_sink);
        m_log->set_pattern("%v");
    }

    auto tearDown() -> void override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    auto lines_flushed_areWritten() -> void
    {
        m_log->info("one");
        m_log->info("two");
        m_log->flush();
        CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), readAll());
    }

    auto lines_beyondCapacity_areCountedAndReported() -> void
    {
        for (std::size_t line = 0; line < bound; ++line)
            m_log->info("xxxxxxxxx");
        CPPUNIT_ASSERT(m_sink->dropped() > 0);
        m_log->flush();
        readAll();
        m_log->flush();
        CPPUNIT_ASSERT_EQUAL("event=log_lines_dropped count=" + std::to_string(m_sink->dropped()) + "\n", readAll());
    }

    auto flush_readerDoesNotRead_doesNotBlock() -> void
    {
        for (int round = 0; round < 1000; ++round) {
            m_log->info(std::string(bound / 2, 'x'));
            m_log->flush();
        }
        CPPUNIT_ASSERT(m_sink->dropped() > 0);
    }

private:
    static constexpr std::size_t bound = 2000;

    auto readAll() -> std::string
    {
        std::string text;
        char part[512];
        for (auto count = read(m_pipe[0], part, sizeof part); count > 0; count = read(m_pipe[0], part, sizeof part))
            text.append(part, static_cast<std::size_t>(count));
        return text;
    }

    int m_pipe[2] = { -1, -1 };
    std::shared_ptr<BoundedSink> m_sink;
    std::unique_ptr<spdlog::logger> m_log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedSinkTest);

} // namespace hemlockvane::detail
