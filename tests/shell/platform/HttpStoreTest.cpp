#include "HttpStore.h"

#include "hemlockvane/detail/http/HttpPool.h"
#include "hemlockvane/detail/http/HttpServer.h"
#include "hemlockvane/detail/metrics/Metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::platform {

namespace asio = boost::asio;

class HttpStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpStoreTest);
    CPPUNIT_TEST(newest_malformedItem_isSkipped);
    CPPUNIT_TEST(newest_pageWithoutReadableItemAndMore_isNoAnswer);
    CPPUNIT_TEST(newest_malformedPage_isNoAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    auto newest_malformedItem_isSkipped() -> void
    {
        const auto content
            = newest(R"({"items":[7,null,[],{"key":"a","value":"eA==","offset":3}],"end":4,"hasMore":false})");
        CPPUNIT_ASSERT(content);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, content->first.size());
        CPPUNIT_ASSERT_EQUAL(std::string("x"), content->first.front().m_value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 4 }, content->second);
    }

    // Without a key to go on after, the same page would be read for ever.
    auto newest_pageWithoutReadableItemAndMore_isNoAnswer() -> void
    {
        CPPUNIT_ASSERT(!newest(R"({"items":[7],"end":4,"hasMore":true})"));
    }

    auto newest_malformedPage_isNoAnswer() -> void
    {
        for (const auto* body : { "", "[]", "{", R"({"items":{}})", R"({"end":4})" })
            CPPUNIT_ASSERT_MESSAGE(body, !newest(body));
    }

private:
    // Content that is read from a store which answers every request with the given body.
    static auto newest(std::string body) -> std::optional<detail::TopicContent>
    {
        asio::io_context context;
        detail::HttpServer server(context, {}, [&body](const detail::HttpRequest&) { return answer(body); });
        FailureReason reason;
        const auto port = server.listen("127.0.0.1:0", reason);
        CPPUNIT_ASSERT(port);
        detail::HttpPool pool(context, {});
        detail::Metrics metrics;
        HttpStore store(pool, metrics, "127.0.0.1:" + std::to_string(*port));
        std::optional<detail::TopicContent> content;
        auto isAnswered = false;
        asio::co_spawn(context, store.newest("keyed.jobs"),
            [&](const std::exception_ptr& error, std::optional<detail::TopicContent> read) {
                CPPUNIT_ASSERT(!error);
                content = std::move(read);
                isAnswered = true;
            });
        for (int round = 0; round < 400 && !isAnswered; ++round)
            context.run_for(std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(isAnswered);
        return content;
    }

    static auto answer(std::string body) -> asio::awaitable<detail::HttpResponse>
    {
        detail::HttpResponse response;
        response.m_status = 200;
        response.m_body = std::move(body);
        co_return response;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStoreTest);

} // namespace hemlockvane::platform
