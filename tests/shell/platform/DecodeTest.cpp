#include "DecodeConfiguration.h"
#include "DecodeEvacuation.h"
#include "DecodeExecutorEntry.h"
#include "DecodeJob.h"
#include "DecodeMachinePage.h"
#include "DecodeWaveOrder.h"
#include "LoadPlatformSettings.h"
#include "MachinePage.h"
#include "PlatformSettings.h"
#include "TaskName.h"

#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/ingress/MatchRequest.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <utility>

namespace hemlockvane::platform {

class DecodeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecodeTest);
    CPPUNIT_TEST(job_valid_isDecoded);
    CPPUNIT_TEST(job_invalid_isRefusedWithReason);
    CPPUNIT_TEST(job_stepLimitInvalid_isRefusedByName);
    CPPUNIT_TEST(job_stepLimitHuge_isKeptAsLimit);
    CPPUNIT_TEST(job_absurdNumbers_areRefusedByName);
    CPPUNIT_TEST(executorEntry_invalid_isIgnored);
    CPPUNIT_TEST(executorEntry_odd_isIgnored);
    CPPUNIT_TEST(executorEntry_idThatIsNoHeader_isIgnored);
    CPPUNIT_TEST(machinePage_notReadInFull_isEmpty);
    CPPUNIT_TEST(configuration_routes_longestPrefixWins);
    CPPUNIT_TEST(configuration_unreadable_isEmpty);
    CPPUNIT_TEST(waveOrder_otherKey_isEmpty);
    CPPUNIT_TEST(waveOrder_absurdNumber_isEmpty);
    CPPUNIT_TEST(evacuation_key_namesItsZone);
    CPPUNIT_TEST(executorEntry_cold_remainingTimeIsDecoded);
    CPPUNIT_TEST(taskName_invalid_isEmpty);
    CPPUNIT_TEST(settings_missingFields_areNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    auto job_valid_isDecoded() -> void
    {
        FailureReason reason;
        const auto job = decodeJob(R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},
            {"count":20,"cpu":2000,"after":[0],"savesProgress":true,"antiAffinity":2,"mayMiss":1}]})",
            reason);
        CPPUNIT_ASSERT(job);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, job->m_steps.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2000 }, job->m_steps[1].m_perTask.m_cpuMilliCores);
        CPPUNIT_ASSERT_EQUAL(2U, job->m_steps[1].m_perExecutorLimit);
        CPPUNIT_ASSERT(job->m_steps[1].m_savesCheckpoints);
    }

    auto job_invalid_isRefusedWithReason() -> void
    {
        for (const auto* body :
            { "", "no json", "[]", "{}", R"({"steps":[]})", R"({"steps":[1]})", R"({"steps":[{"count":0}]})",
                R"({"steps":[{"count":9000000}]})", R"({"steps":[{"after":[0]}]})", R"({"steps":[{},{"after":[1]}]})",
                R"({"steps":[{},{"after":["0"]}]})", R"({"steps":[{"cpu":-1}]})", R"({"steps":[{}],"runCount":-1})" }) {
            FailureReason reason;
            CPPUNIT_ASSERT_MESSAGE(body, !decodeJob(body, reason));
            CPPUNIT_ASSERT_MESSAGE(body, !reason.m_text.empty());
        }
    }

    // Guards against a limit that is lost or becomes another one.
    auto job_stepLimitInvalid_isRefusedByName() -> void
    {
        for (const std::string name : { "antiAffinity", "mayMiss" }) {
            for (const auto* value : { "-1", "-4294967295", "1.5", R"("2")", "true", "[]", "null", "1e30" }) {
                FailureReason reason;
                const auto body = R"({"steps":[{},{")" + name + R"(":)" + value + "}]}";
                CPPUNIT_ASSERT_MESSAGE(body, !decodeJob(body, reason));
                CPPUNIT_ASSERT_MESSAGE(body, reason.m_text.find("step 1: " + name) == 0);
                CPPUNIT_ASSERT_MESSAGE(body, reason.m_kind == ErrorKind::BadRequest);
            }
        }
    }

    auto job_stepLimitHuge_isKeptAsLimit() -> void
    {
        constexpr std::uint32_t maximumTasks = 20000; // In one job, so a higher limit is none.
        FailureReason reason;
        const auto job = decodeJob(R"({"steps":[{"antiAffinity":4294967296,"mayMiss":4294967296}]})", reason);
        CPPUNIT_ASSERT(job);
        CPPUNIT_ASSERT_EQUAL(maximumTasks, job->m_steps[0].m_perExecutorLimit);
        CPPUNIT_ASSERT_EQUAL(maximumTasks, job->m_steps[0].m_maxUnavailable);
    }

    auto executorEntry_invalid_isIgnored() -> void
    {
        const std::string good
            = R"({"service":"s","address":"1.2.3.4:5","state":"ready","born":7,"capacity":{"cpu":1}})";
        CPPUNIT_ASSERT(decodeExecutorEntry("e", good));
        for (const auto* text :
            { "", "\xff\xfe", "{}", R"({"service":7,"address":"a","state":"ready","born":7,"capacity":{}})",
                R"({"service":"s","address":"a","state":"lost","born":7,"capacity":{}})",
                R"({"service":"s","address":"a","state":"ready","capacity":{}})",
                R"({"service":"s","address":"a","state":"ready","born":"7","capacity":{}})",
                R"({"service":"s","address":"a","state":"ready","born":7,"capacity":4})" })
            CPPUNIT_ASSERT_MESSAGE(text, !decodeExecutorEntry("e", text));
    }

    // Guards against an entry of another writer that is used, or hides the executor's own for good.
    auto executorEntry_odd_isIgnored() -> void
    {
        const auto entry = [](const std::string& field, const std::string& value) {
            std::string text = R"({"service":"s","address":"1.2.3.4:5","state":"ready","born":7,"capacity":{"cpu":1})";
            if (const auto found = text.find("\"" + field + "\":"); found != std::string::npos)
                text.replace(found, field.size() + 2, "\"earlier\"");
            return text + ",\"" + field + "\":" + value + "}";
        };
        CPPUNIT_ASSERT(decodeExecutorEntry("e", entry("other", "1")));
        CPPUNIT_ASSERT(decodeExecutorEntry("e", entry("labels", R"(["a","b"])")));
        const auto nested = std::string(100000, '[') + std::string(100000, ']');
        const std::pair<std::string, std::string> odd[] = { { "other", nested }, { "born", "1e400" },
            { "born", "1e18" }, { "born", "4102444800001" }, { "born", "-1" }, { "born", "99999999999999999999" },
            { "born", "7.5" }, { "address", R"("1.2.3.4:65536")" }, { "address", R"("1.2.3.4:0")" },
            { "address", R"("1.2.3.4:-5")" }, { "address", R"("1.2.3.4:99999999999999999999")" },
            { "address", R"("1.2.3.4")" }, { "address", R"(":5")" }, { "address", R"("1.2.3.999:5")" },
            { "address", "[]" }, { "capacity", R"({"cpu":1e30})" }, { "capacity", R"({"cpu":-1})" },
            { "capacity", R"({"cpu":9223372036854775807})" }, { "capacity", R"({"memMb":"1"})" },
            { "capacity", R"({"gpu":99999999999999999999})" }, { "capacity", nested }, { "labels", R"(["a",7])" },
            { "labels", R"("a")" }, { "state", nested } };
        for (const auto& [field, value] : odd)
            CPPUNIT_ASSERT_MESSAGE(field + " " + value.substr(0, 40), !decodeExecutorEntry("e", entry(field, value)));
        const auto late = decodeExecutorEntry("e", entry("remainingMs", "9223372036854775807"));
        CPPUNIT_ASSERT(late && late->m_remainingMs <= 86400000);
    }

    auto executorEntry_idThatIsNoHeader_isIgnored() -> void
    {
        const std::string good
            = R"({"service":"s","address":"1.2.3.4:5","state":"ready","born":7,"capacity":{"cpu":1}})";
        const std::string ids[] = { "", "a b", "a\r\nHemlockvane-Other: x", "\xff", std::string("a\0b", 3) };
        for (const auto& id : ids)
            CPPUNIT_ASSERT_MESSAGE(id, !decodeExecutorEntry(id, good));
    }

    auto job_absurdNumbers_areRefusedByName() -> void
    {
        for (const std::string name : { "cpu", "memMb", "gpu", "estimateMs", "targetMs" }) {
            FailureReason reason;
            CPPUNIT_ASSERT_MESSAGE(name, !decodeJob(R"({"steps":[{")" + name + R"(":9e18}]})", reason));
            CPPUNIT_ASSERT_MESSAGE(name, reason.m_text.find("step 0: " + name) == 0);
        }
        FailureReason reason;
        CPPUNIT_ASSERT(!decodeJob(R"({"steps":[{}],"runCount":9,"intervalMs":9e18})", reason));
        CPPUNIT_ASSERT(decodeJob(R"({"steps":[{}],"runCount":9,"startAtMs":1796447275817,"intervalMs":500})", reason));
    }

    // Guards against a machine that is taken for gone.
    auto machinePage_notReadInFull_isEmpty() -> void
    {
        const auto page
            = decodeMachinePage(R"({"machines":[{"machine":"m","pool":"p","state":"up","id":"e"}],"nextToken":"n"})");
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::string("e"), page->m_machines.at(0).m_executorId);
        CPPUNIT_ASSERT_EQUAL(std::string("n"), page->m_nextToken);
        for (const auto* text : { "", "{}", "[]", R"({"machines":{}})", R"({"machines":[7]})",
                 R"({"machines":[{"machine":"m"},{}]})", R"({"machines":[{"machine":7}]})" })
            CPPUNIT_ASSERT_MESSAGE(text, !decodeMachinePage(text));
    }

    auto configuration_routes_longestPrefixWins() -> void
    {
        const auto rules = decodeConfiguration(R"({"version":3,"routes":[
            {"name":"short","host":"h","pathPrefix":"/a/","service":"s"},
            {"name":"long","host":"h","pathPrefix":"/a/b/","service":"s","public":true}],
            "tenants":[{"name":"t","apiKeys":["k"],"maxCount":{"cpu":5}}],
            "services":[{"name":"s"},{"name":"p","spare":true,"admissionCheck":true}]})");
        CPPUNIT_ASSERT(rules);
        CPPUNIT_ASSERT_EQUAL(std::string("long"), ingress::findRoute(rules->m_ingress, "h:80", "/a/b/c")->m_queue);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), ingress::findRoute(rules->m_ingress, "h", "/a/c")->m_queue);
        CPPUNIT_ASSERT(ingress::findRoute(rules->m_ingress, "other", "/a/c") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), rules->m_ingress.m_workspaceByKey.at("k"));
        CPPUNIT_ASSERT(rules->m_fleet.m_spareServices.contains("p"));
        CPPUNIT_ASSERT(rules->m_fleet.m_unguardedServices == std::set<std::string> { "s" });
    }

    auto configuration_unreadable_isEmpty() -> void
    {
        CPPUNIT_ASSERT(!decodeConfiguration("x"));
        CPPUNIT_ASSERT(!decodeConfiguration("{}"));
    }

    auto waveOrder_otherKey_isEmpty() -> void
    {
        const std::string text = R"({"wave":1,"machines":["m"],"durationS":2.5,"maxCount":3})";
        CPPUNIT_ASSERT(decodeWaveOrder("wave/1", text)->m_timeLimit == Duration(2500));
        CPPUNIT_ASSERT(!decodeWaveOrder("other/1", text));
        CPPUNIT_ASSERT(!decodeWaveOrder("wave/1", ""));
    }

    auto waveOrder_absurdNumber_isEmpty() -> void
    {
        CPPUNIT_ASSERT(!decodeWaveOrder("wave/1", R"({"wave":1,"machines":["m"],"durationS":1e300,"maxCount":3})"));
        CPPUNIT_ASSERT(!decodeWaveOrder("wave/1", R"({"wave":1,"machines":["m"],"durationS":2,"maxCount":1e30})"));
    }

    auto taskName_invalid_isEmpty() -> void
    {
        const scheduling::TaskKey key { 0x5c0e7a21d94b36f8, 0, 1, 17 };
        CPPUNIT_ASSERT(parseTaskName(detail::taskText(key)) == key);
        for (const auto* name : { "", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.x",
                 "5c0e7a21d94b36f8.0.1.2.3", "xx.0.1.2" })
            CPPUNIT_ASSERT_MESSAGE(name, !parseTaskName(name));
    }

    auto settings_missingFields_areNamed() -> void
    {
        FailureReason reason;
        CPPUNIT_ASSERT(!parsePlatformSettings("node=n\nbounds.moveS=fast\n", reason));
        CPPUNIT_ASSERT(reason.m_text.find("zone is missing") != std::string::npos);
        CPPUNIT_ASSERT(reason.m_text.find("bounds.moveS is no number") != std::string::npos);
        CPPUNIT_ASSERT(reason.m_text.find("node is missing") == std::string::npos);
    }

    // Guards against an evacuation that is missed, and against other records that are taken for one.
    auto evacuation_key_namesItsZone() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::string("north-a"), decodeEvacuation("evacuate/north-a").value());
        CPPUNIT_ASSERT(!decodeEvacuation("evacuate/"));
        CPPUNIT_ASSERT(!decodeEvacuation("wave/1"));
        CPPUNIT_ASSERT(!decodeEvacuation("config"));
    }

    auto executorEntry_cold_remainingTimeIsDecoded() -> void
    {
        const auto* text = R"({"service":"s","address":"127.0.0.1:80","zone":"z","born":1,"state":"ready",)"
                           R"("coldRemainingMs":2500,"labels":["a","r"],"capacity":{"cpu":1,"memMb":1,"gpu":0}})";
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2500 }, decodeExecutorEntry("id", text).value().m_remainingColdMs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodeTest);

} // namespace hemlockvane::platform
