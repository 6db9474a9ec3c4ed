#include "lab/deployment.hpp"
#include "support/foundry_configuration.hpp"
#include "support/section.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <set>
#include <thread>

namespace mangolink::test
{
namespace
{

using nlohmann::json;
using namespace mangolink::bench;

constexpr const char* valid_body = R"({"input": "tin"})";

deployment_plan proxied(std::vector<server_plan> servers,
                        const std::initializer_list<const char*>& pipelines)
{
    return {.servers = std::move(servers),
            .pipelines = pipelines_named(pipelines),
            .customers = foundry_customers(),
            .proxied = true};
}

std::string outcome_of(const http_result& result)
{
    const json body = json::parse(result.body, nullptr, false);
    return body.is_object() ? body.value("outcome", "") : "";
}

std::string id_of(const http_result& result)
{
    return json::parse(result.body).value("request_id", "");
}

std::multiset<std::string> executed(const deployment& system)
{
    std::multiset<std::string> ids;
    for (const auto& execution : system.executions())
    {
        ids.insert(execution["request_id"].get<std::string>());
    }
    return ids;
}

} // namespace

class faults_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(faults_test);
    CPPUNIT_TEST(lost_answer_of_a_commission);
    CPPUNIT_TEST(backend_server_closes_after_reading);
    CPPUNIT_TEST(agent_without_network);
    CPPUNIT_TEST(agent_killed_during_a_call);
    CPPUNIT_TEST(agent_paused);
    CPPUNIT_TEST(platform_down);
    CPPUNIT_TEST_SUITE_END();

public:
    void lost_answer_of_a_commission()
    {
        deployment system(proxied({{"desk-1", "desk"}}, {"commission"}));
        system.start_all();
        system.faults({{{"route", "agent desk-1"}, {"hold_to_client", true}}});
        const auto result = system.request("entry-1", "commission", "{}",
                                           {{"Mangolink-Deadline-Ms", "800"}});
        section("the caller learns that nothing is known",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(504U, result.status);
                    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                                         outcome_of(result));
                });
        section(
            "it was executed once", [&]
            { CPPUNIT_ASSERT_EQUAL(std::size_t(1), executed(system).size()); });
    }

    void backend_server_closes_after_reading()
    {
        deployment system(
            proxied({{"desk-1", "desk", "pool", 300'000}, {"desk-2", "desk"}},
                    {"commission"}));
        system.start_agent("desk-1");
        system.start_entry("entry-1");
        CPPUNIT_ASSERT(system.ready("entry-1", 1));
        const auto first = system.request("entry-1", "commission", "{}");
        CPPUNIT_ASSERT_EQUAL(std::string("complete"), outcome_of(first));
        http_result result;
        std::thread caller(
            [&] { result = system.request("entry-1", "commission", "{}"); });
        CPPUNIT_ASSERT(
            wait_until([&] { return system.executions().size() == 2; }));
        system.faults({{{"route", "backend desk-1"}, {"reset", true}}});
        caller.join();
        section(
            "the commission is not repeated", [&]
            { CPPUNIT_ASSERT_EQUAL(std::size_t(2), executed(system).size()); });
        section("and the caller is not told that it did not run",
                [&]
                {
                    CPPUNIT_ASSERT(outcome_of(result) == "failed" ||
                                   outcome_of(result) == "unknown");
                });
    }

    void agent_without_network()
    {
        deployment system(proxied(
            {{"enc-1", "encoders"}, {"enc-2", "encoders"}}, {"question"}));
        system.start_all({"membership.heartbeat_interval_ms=200",
                          "membership.silence_limit_ms=600"});
        system.faults({{{"route", "agent enc-1"}, {"cut", true}}});
        std::vector<http_result> results;
        results.reserve(40);
        for (int i = 0; i < 40; ++i)
        {
            results.push_back(
                system.request("entry-1", "question", valid_body,
                               {{"Mangolink-Deadline-Ms", "5000"}}));
        }
        section("every request is answered by the other",
                [&]
                {
                    for (const auto& result : results)
                    {
                        CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                                             outcome_of(result));
                    }
                });
        section("when both are cut off, 'not run' is only told of what did "
                "not run",
                [&]
                {
                    system.faults({{{"route", "agent enc-1"}, {"cut", true}},
                                   {{"route", "agent enc-2"}, {"cut", true}}});
                    std::vector<http_result> refused;
                    refused.reserve(10);
                    for (int i = 0; i < 10; ++i)
                    {
                        refused.push_back(
                            system.request("entry-1", "question", valid_body,
                                           {{"Mangolink-Deadline-Ms", "500"}}));
                    }
                    const auto ids = executed(system);
                    for (const auto& result : refused)
                    {
                        const bool ran = ids.contains(id_of(result));
                        CPPUNIT_ASSERT(outcome_of(result) != "complete");
                        CPPUNIT_ASSERT(outcome_of(result) != "not_run" || !ran);
                    }
                });
        section("when the links return, so does the service",
                [&]
                {
                    system.faults(json::array());
                    CPPUNIT_ASSERT(system.ready("entry-1", 2));
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("complete"),
                        outcome_of(
                            system.request("entry-1", "question", valid_body)));
                });
    }

    void agent_killed_during_a_call()
    {
        deployment system(proxied({{"enc-1", "encoders", "pool", 300'000},
                                   {"enc-2", "encoders", "pool", 300'000}},
                                  {"question"}));
        system.start_all({"membership.heartbeat_interval_ms=200",
                          "membership.silence_limit_ms=600"});
        http_result result;
        std::thread caller(
            [&]
            {
                result = system.request("entry-1", "question", valid_body,
                                        {{"Mangolink-Deadline-Ms", "20000"}});
            });
        CPPUNIT_ASSERT(
            wait_until([&] { return system.executions().size() == 1; }));
        const std::string first = system.executions()[0]["server"];
        system.process(first).signal(SIGKILL);
        caller.join();
        section("an idempotent stage is run again elsewhere",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                                         outcome_of(result));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         executed(system).count(id_of(result)));
                });
    }

    void agent_paused()
    {
        deployment system(proxied({{"desk-1", "desk"}}, {"commission"}));
        system.start_all();
        system.process("desk-1").signal(SIGSTOP);
        const auto result = system.request("entry-1", "commission", "{}",
                                           {{"Mangolink-Deadline-Ms", "500"}});
        system.process("desk-1").signal(SIGCONT);
        section("the caller was told that nothing is known",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                                         outcome_of(result));
                });
        section(
            "the agent that woke late serves others, each once",
            [&]
            {
                const auto next = system.request("entry-1", "commission", "{}");
                CPPUNIT_ASSERT_EQUAL(std::string("complete"), outcome_of(next));
                const auto ids = executed(system);
                CPPUNIT_ASSERT(ids.count(id_of(result)) <= 1);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), ids.count(id_of(next)));
            });
    }

    void platform_down()
    {
        deployment system(proxied({{"enc-1", "encoders"}}, {"question"}));
        system.start_all();
        system.faults({{{"route", "platform"}, {"cut", true}}});
        section("without the configuration service requests are served",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("complete"),
                        outcome_of(
                            system.request("entry-1", "question", valid_body)));
                });
        section("an entry that starts then is fed by agents only if it knows "
                "them, so it says that it is not ready",
                [&]
                {
                    system.start_entry("entry-2");
                    CPPUNIT_ASSERT(wait_until(
                        [&] {
                            return system.admin("entry-2", "GET", "/v1/status")
                                       .status == 200;
                        }));
                    http_client client;
                    const auto result = client.call(
                        {"POST",
                         "http://" + system.caller_address("entry-2") +
                             "/v1/pipelines/question/requests",
                         {{"Mangolink-Customer", "caster"}},
                         valid_body});
                    CPPUNIT_ASSERT_EQUAL(503U, result.status);
                    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                                         outcome_of(result));
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(faults_test);

} // namespace mangolink::test
