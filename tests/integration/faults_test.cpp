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

deployment_plan
proxied_plan(std::vector<server_plan> servers,
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

std::multiset<std::string> executed_ids(const deployment& system)
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
        deployment system(proxied_plan({{"desk-1", "desk"}}, {"commission"}));
        system.start_all();
        system.faults({{{"route", "agent desk-1"}, {"hold_to_client", true}}});
        const auto result = system.request("entry-1", "commission", "{}",
                                           {{"Mangolink-Deadline-Ms", "800"}});
        section("the caller gets an unknown outcome",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(504U, result.status);
                    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                                         outcome_of(result));
                });
        section("the request ran once",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         executed_ids(system).size());
                });
    }

    void backend_server_closes_after_reading()
    {
        deployment system(proxied_plan(
            {{"desk-1", "desk", "pool", 300'000}, {"desk-2", "desk"}},
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
        section("the request is not repeated",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         executed_ids(system).size());
                });
        section("the caller is not told that it did not run",
                [&]
                {
                    CPPUNIT_ASSERT(outcome_of(result) == "failed" ||
                                   outcome_of(result) == "unknown");
                });
    }

    void agent_without_network()
    {
        deployment system(proxied_plan(
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
        section("every request is answered by the other agent",
                [&]
                {
                    for (const auto& result : results)
                    {
                        CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                                             outcome_of(result));
                    }
                });
        section("with both agents unreachable, only requests that did not run "
                "are reported as not run",
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
                    const auto ids = executed_ids(system);
                    for (const auto& result : refused)
                    {
                        const bool ran = ids.contains(id_of(result));
                        CPPUNIT_ASSERT(outcome_of(result) != "complete");
                        CPPUNIT_ASSERT(outcome_of(result) != "not_run" || !ran);
                    }
                });
        section("requests are served once the connections are back",
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
        deployment system(proxied_plan({{"enc-1", "encoders", "pool", 300'000},
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
        section("an idempotent stage runs again at another server",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                                         outcome_of(result));
                    CPPUNIT_ASSERT_EQUAL(
                        std::size_t(2),
                        executed_ids(system).count(id_of(result)));
                });
    }

    void agent_paused()
    {
        deployment system(proxied_plan({{"desk-1", "desk"}}, {"commission"}));
        system.start_all();
        system.process("desk-1").signal(SIGSTOP);
        const auto result = system.request("entry-1", "commission", "{}",
                                           {{"Mangolink-Deadline-Ms", "500"}});
        system.process("desk-1").signal(SIGCONT);
        section("the caller gets an unknown outcome",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                                         outcome_of(result));
                });
        section(
            "the resumed agent serves other requests, each once",
            [&]
            {
                const auto next = system.request("entry-1", "commission", "{}");
                CPPUNIT_ASSERT_EQUAL(std::string("complete"), outcome_of(next));
                const auto ids = executed_ids(system);
                CPPUNIT_ASSERT(ids.count(id_of(result)) <= 1);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), ids.count(id_of(next)));
            });
    }

    void platform_down()
    {
        deployment system(proxied_plan({{"enc-1", "encoders"}}, {"question"}));
        system.start_all();
        system.faults({{{"route", "platform"}, {"cut", true}}});
        section("requests are served without the configuration service",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("complete"),
                        outcome_of(
                            system.request("entry-1", "question", valid_body)));
                });
        section("an entry that starts without it knows no agents and refuses "
                "requests",
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
