#include "ClientApi.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/OwnerElection.h"
#include "hemlockvane/detail/http/HttpPool.h"
#include "hemlockvane/detail/intake/JobIntake.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/rules/RulesFollower.h"
#include "shell/coordinator/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hemlockvane::platform {

class ClientApiTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClientApiTest);
    CPPUNIT_TEST(submission_storeAnswers_isAccepted);
    CPPUNIT_TEST(submission_nearEndOfShutdown_isRefusedAtOnceAndNotStored);
    CPPUNIT_TEST(submission_storeUnresponsiveDuringShutdown_isAnsweredInTime);
    CPPUNIT_TEST(submission_repeatedAfterLostAnswer_isNotCalledNotAccepted);
    CPPUNIT_TEST(submission_storedBefore_isAcceptedDuringShutdownAndWhileStoreRefuses);
    CPPUNIT_TEST(submission_storedBefore_stillNeedsRouteAndKey);
    CPPUNIT_TEST(submission_storedBefore_isUnknownWithoutValidConfiguration);
    CPPUNIT_TEST(submission_unansweredBefore_isUnknownUntilStored);
    CPPUNIT_TEST(submission_refusedBefore_isRefused);
    CPPUNIT_TEST(submission_largerThanTheStoreTakes_isRefusedForGood);
    CPPUNIT_TEST(submission_ownersMemoryFull_isRefusedForNowAndNotStored);
    CPPUNIT_TEST(submission_ownersMemoryFullAndMayBeStored_isNotCalledNotAccepted);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        m_store = std::make_unique<detail::MemoryStore>();
        m_store->m_topics["rules"].push_back(detail::encodeKeyedRecord("newest", "1"));
        m_peers = std::make_unique<detail::HttpPool>(*m_context, detail::HttpPoolLimits {});
        m_election = std::make_unique<detail::OwnerElection>(
            *m_context, *m_store, "n1", "n1", 1, detail::ElectionTiming {}, [](bool) {});
        m_rules = std::make_unique<detail::RulesFollower>(
            *m_context, *m_store, source(), [](const detail::OperatorRules&) {});
        m_intake = std::make_unique<detail::JobIntake>(
            *m_context, *m_store, *m_peers, *m_election, [] { return std::shared_ptr<detail::Coordinator>(); });
        m_api = std::make_unique<ClientApi>(*m_intake, *m_rules, m_metrics, Duration(3600000));
        m_rules->start();
        runUntil([&] { return m_api->isReady(); });
    }

    auto submission_storeAnswers_isAccepted() -> void
    {
        CPPUNIT_ASSERT_EQUAL(200U, submit());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_store->m_topics["keyed.jobs"].size());
    }

    auto submission_nearEndOfShutdown_isRefusedAtOnceAndNotStored() -> void
    {
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(20));
        CPPUNIT_ASSERT_EQUAL(503U, submit());
        CPPUNIT_ASSERT(m_store->m_topics["keyed.jobs"].empty());
    }

    auto submission_storeUnresponsiveDuringShutdown_isAnsweredInTime() -> void
    {
        m_store->m_isDown = true;
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(700));
        CPPUNIT_ASSERT_EQUAL(504U, submit()); // The caller's own deadline is one hour.
    }

    // Guards against a caller told that its job never runs, though an earlier request for it was stored.
    auto submission_repeatedAfterLostAnswer_isNotCalledNotAccepted() -> void
    {
        CPPUNIT_ASSERT_EQUAL(200U, submit());
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(20));
        CPPUNIT_ASSERT(submit() != 503U);
    }

    auto submission_storedBefore_isAcceptedDuringShutdownAndWhileStoreRefuses() -> void
    {
        CPPUNIT_ASSERT_EQUAL(200U, submit());
        m_store->m_refusesAppends = true;
        CPPUNIT_ASSERT_EQUAL(200U, submit());
        CPPUNIT_ASSERT_EQUAL(503U, submit(otherTarget));
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(20));
        CPPUNIT_ASSERT_EQUAL(200U, submit());
        CPPUNIT_ASSERT_EQUAL(503U, submit(otherTarget));
    }

    auto submission_storedBefore_stillNeedsRouteAndKey() -> void
    {
        CPPUNIT_ASSERT_EQUAL(200U, submit());
        CPPUNIT_ASSERT_EQUAL(401U, submit("/private/00000000000000a1"));
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(20));
        CPPUNIT_ASSERT_EQUAL(401U, submit("/private/00000000000000a1"));
        CPPUNIT_ASSERT_EQUAL(404U, submit("/other/00000000000000a1"));
    }

    // The key may have been withdrawn, so the answer isn't 200 either.
    auto submission_storedBefore_isUnknownWithoutValidConfiguration() -> void
    {
        CPPUNIT_ASSERT_EQUAL(200U, submit());
        m_api = std::make_unique<ClientApi>(*m_intake, *m_rules, m_metrics, Duration(0));
        CPPUNIT_ASSERT(!m_api->isReady());
        CPPUNIT_ASSERT_EQUAL(504U, submit());
        CPPUNIT_ASSERT_EQUAL(503U, submit(otherTarget));
        CPPUNIT_ASSERT_EQUAL(503U, submit("/"));
    }

    auto submission_unansweredBefore_isUnknownUntilStored() -> void
    {
        m_store->m_losesAnswers = true;
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(500));
        CPPUNIT_ASSERT_EQUAL(504U, submit());
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(20));
        CPPUNIT_ASSERT_EQUAL(504U, submit());
        m_api->setAnswerDeadline(Instant::max());
        m_store->m_refusesAppends = true;
        CPPUNIT_ASSERT_EQUAL(504U, submit());
        m_store->m_refusesAppends = false;
        m_store->m_losesAnswers = false;
        CPPUNIT_ASSERT_EQUAL(200U, submit());
    }

    auto submission_refusedBefore_isRefused() -> void
    {
        m_store->m_refusesAppends = true;
        CPPUNIT_ASSERT_EQUAL(503U, submit());
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(20));
        CPPUNIT_ASSERT_EQUAL(503U, submit());
        CPPUNIT_ASSERT(m_store->m_topics["keyed.jobs"].empty());
    }

    auto submission_largerThanTheStoreTakes_isRefusedForGood() -> void
    {
        m_intake = std::make_unique<detail::JobIntake>(
            *m_context, *m_store, *m_peers, *m_election, [] { return std::shared_ptr<detail::Coordinator>(); },
            detail::StoreLimits { 50, 100 });
        m_api = std::make_unique<ClientApi>(*m_intake, *m_rules, m_metrics, Duration(3600000));
        CPPUNIT_ASSERT_EQUAL(413U, submit());
        CPPUNIT_ASSERT(m_store->m_topics["keyed.jobs"].empty());
    }

    auto submission_ownersMemoryFull_isRefusedForNowAndNotStored() -> void
    {
        followOwner();
        CPPUNIT_ASSERT_EQUAL(503U, submit());
        CPPUNIT_ASSERT(m_store->m_topics["keyed.jobs"].empty());
        m_ownersMemory.m_left = 1000000;
        runUntil([&] { return m_election->owner().m_jobMemory->m_left > 0; });
        CPPUNIT_ASSERT_EQUAL(200U, submit());
    }

    auto submission_ownersMemoryFullAndMayBeStored_isNotCalledNotAccepted() -> void
    {
        m_store->m_losesAnswers = true;
        m_api->setAnswerDeadline(detail::monotonicNow() + Duration(500));
        CPPUNIT_ASSERT_EQUAL(504U, submit());
        m_api->setAnswerDeadline(Instant::max());
        m_store->m_losesAnswers = false;
        followOwner();
        CPPUNIT_ASSERT_EQUAL(200U, submit());
    }

private:
    // Another instance becomes the owner, whose memory takes no further jobs.
    auto followOwner() -> void
    {
        m_owner = std::make_unique<detail::OwnerElection>(
            *m_context, *m_store, "n2", "n2", 2, detail::ElectionTiming {}, [](bool) {});
        m_owner->publishJobMemory([this] { return m_ownersMemory; });
        m_owner->start();
        runUntil([&] { return m_owner->isOwner(); });
        m_election->start();
        runUntil([&] { return m_election->owner().m_jobMemory.has_value(); });
        CPPUNIT_ASSERT(m_election->owner().m_jobMemory.has_value());
    }

    static constexpr auto jobTarget = "/jobs/00000000000000a1";
    static constexpr auto otherTarget = "/jobs/00000000000000a2";

    static auto source() -> detail::RulesSource
    {
        detail::RulesSource made;
        made.m_topic = "rules";
        made.m_rulesKey = "newest";
        made.m_decode = [](std::string_view) {
            detail::OperatorRules rules;
            rules.m_ingress.m_routesByHost["desk.example"]
                = { { "desk.example", "/jobs/", "checks", true }, { "desk.example", "/private/", "checks", false } };
            return std::optional(rules);
        };
        made.m_onOtherRecord = [](std::string_view, std::string_view) {};
        return made;
    }

    auto submit(std::string target = jobTarget) -> unsigned
    {
        detail::HttpRequest request;
        request.m_method = "POST";
        request.m_target = std::move(target);
        request.m_headers = { { "Host", "desk.example" }, { "Hemlockvane-Deadline-Ms", "3600000" } };
        request.m_body = R"({"spec":"s","steps":[{"count":1,"cpu":100,"estimateMs":10}]})";
        std::optional<unsigned> status;
        boost::asio::co_spawn(*m_context, m_api->handle(std::move(request)),
            [&](const std::exception_ptr&, const detail::HttpResponse& response) { status = response.m_status; });
        runUntil([&] { return status.has_value(); });
        return status.value_or(0);
    }

    auto runUntil(const std::function<bool()>& holds) -> void
    {
        for (int round = 0; !holds() && round < 500; ++round)
            m_context->run_for(Duration(10));
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<detail::MemoryStore> m_store;
    std::unique_ptr<detail::HttpPool> m_peers;
    std::unique_ptr<detail::OwnerElection> m_election;
    std::unique_ptr<detail::OwnerElection> m_owner; ///< Another instance, in some tests.
    detail::JobMemoryView m_ownersMemory;
    std::unique_ptr<detail::RulesFollower> m_rules;
    std::unique_ptr<detail::JobIntake> m_intake;
    detail::Metrics m_metrics;
    std::unique_ptr<ClientApi> m_api;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientApiTest);

} // namespace hemlockvane::platform
