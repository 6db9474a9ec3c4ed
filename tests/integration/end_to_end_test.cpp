#include "lab/deployment.hpp"
#include "support/foundry_configuration.hpp"
#include "support/section.hpp"

#include <nlohmann/json.hpp>

#include <csignal>

namespace mangolink::test
{
namespace
{

using nlohmann::json;
using namespace mangolink::bench;

std::vector<server_plan> foundry_servers()
{
    return {{"enc-1", "encoders"},
            {"ret-1", "retrievers"},
            {"rer-1", "rerankers"},
            {"eng-1", "engines", "engine"},
            {"desk-1", "desk"}};
}

std::string header_of(const http_result& result, const std::string& name)
{
    for (const auto& header : result.headers)
    {
        if (header.name == name)
        {
            return header.value;
        }
    }
    return {};
}

} // namespace

class end_to_end_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(end_to_end_test);
    CPPUNIT_TEST(one_stage_request);
    CPPUNIT_TEST(four_stages_and_a_stream);
    CPPUNIT_TEST(commission_runs_once_per_key);
    CPPUNIT_TEST(unacceptable_requests);
    CPPUNIT_TEST(administration);
    CPPUNIT_TEST(command_lines);
    CPPUNIT_TEST(graceful_stop);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_stage_request()
    {
        deployment system({{"enc-1", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        const auto result =
            system.request("entry-1", "question", R"({"input": "tin"})");
        section("the answer comes from the backend server",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(200U, result.status);
                    const json body = json::parse(result.body);
                    CPPUNIT_ASSERT_EQUAL(1000, body["code"].get<int>());
                    CPPUNIT_ASSERT(body["answer"].contains("data"));
                });
        section("the backend server executed the request once, under its id",
                [&]
                {
                    const json executions = system.executions();
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), executions.size());
                    CPPUNIT_ASSERT_EQUAL(
                        header_of(result, "Mangolink-Request-Id"),
                        executions[0]["request_id"].get<std::string>());
                });
    }

    void four_stages_and_a_stream()
    {
        deployment system(
            foundry_servers(),
            pipelines_named({"dossier", "question", "commission"}),
            foundry_customers());
        system.start_all();
        const std::string body =
            R"({"input": "Review this mould", "max_tokens": 5})";
        section(
            "a plain answer has the text of the last stage",
            [&]
            {
                const auto result = system.request("entry-1", "dossier", body);
                CPPUNIT_ASSERT_EQUAL(200U, result.status);
                const json answer = json::parse(result.body);
                CPPUNIT_ASSERT_EQUAL(std::string("w0 w1 w2 w3 w4 "),
                                     answer["answer"].get<std::string>());
                CPPUNIT_ASSERT_EQUAL(std::size_t(4), answer["stages"].size());
            });
        section("a streamed answer ends with its outcome",
                [&]
                {
                    const auto result =
                        system.request("entry-1", "dossier", body,
                                       {{"Accept", "text/event-stream"}});
                    const auto& text = result.body;
                    const auto token = text.find(R"({"text":"w4 "})");
                    const auto end = text.find(R"("outcome":"complete")");
                    CPPUNIT_ASSERT(token != std::string::npos);
                    CPPUNIT_ASSERT(end != std::string::npos);
                    CPPUNIT_ASSERT(token < end);
                });
    }

    void commission_runs_once_per_key()
    {
        deployment system({{"desk-1", "desk"}, {"desk-2", "desk"}},
                          pipelines_named({"commission"}), foundry_customers());
        system.start_all();
        system.start_entry("entry-2");
        CPPUNIT_ASSERT(system.ready("entry-2", 2));
        http_client client;
        const auto issued =
            client.call({"POST",
                         "http://" + system.caller_address("entry-1") +
                             "/v1/pipelines/commission/keys",
                         {{"Mangolink-Customer", "caster"}}});
        CPPUNIT_ASSERT_EQUAL(200U, issued.status);
        const std::string key =
            json::parse(issued.body)["idempotency_key"].get<std::string>();
        const std::vector<http_header> headers{{"Mangolink-Customer", "caster"},
                                               {"Idempotency-Key", key}};
        const std::string body = R"({"weight": 1})";
        const auto first =
            system.request("entry-1", "commission", body, headers);
        CPPUNIT_ASSERT_EQUAL(200U, first.status);
        section("the same key at another entry gets the stored answer",
                [&]
                {
                    const auto again =
                        system.request("entry-2", "commission", body, headers);
                    CPPUNIT_ASSERT_EQUAL(200U, again.status);
                    CPPUNIT_ASSERT_EQUAL(json::parse(first.body)["answer"],
                                         json::parse(again.body)["answer"]);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         system.executions().size());
                });
        section("the same key with another body is refused",
                [&]
                {
                    const auto other = system.request(
                        "entry-2", "commission", R"({"weight": 2})", headers);
                    CPPUNIT_ASSERT_EQUAL(422U, other.status);
                    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                                         header_of(other, "Mangolink-Outcome"));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         system.executions().size());
                });
        section("after a restart of the owner the outcome is unknown",
                [&]
                {
                    for (const std::string name : {"desk-1", "desk-2"})
                    {
                        system.process(name).signal(SIGKILL);
                        system.process(name).wait(milliseconds(5000));
                        system.start_agent(name);
                    }
                    const auto late = [&] {
                        return system.request("entry-1", "commission", body,
                                              headers);
                    };
                    CPPUNIT_ASSERT(
                        wait_until([&] { return late().status == 504; }));
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("unknown"),
                        header_of(late(), "Mangolink-Outcome"));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         system.executions().size());
                });
    }

    void unacceptable_requests()
    {
        deployment system({{"enc-1", "encoders"}, {"desk-1", "desk"}},
                          pipelines_named({"question", "commission"}),
                          foundry_customers());
        system.start_all();
        struct invalid_request final
        {
            std::string pipeline;
            std::string body;
            std::vector<http_header> headers;
            std::string code;
        };
        const std::string valid_body = R"({"input": "tin"})";
        const std::vector<invalid_request> requests{
            {"nothing", valid_body, {}, "1101"},
            {"question", valid_body, {{"Mangolink-Customer", "thief"}}, "1102"},
            {"commission", "{}", {{"Mangolink-Customer", "glazier"}}, "1103"},
            {"question", valid_body, {{"Mangolink-Deadline-Ms", "0"}}, "1104"},
            {"question", valid_body, {{"Mangolink-Deadline-Ms", "-5"}}, "1104"},
            {"question",
             valid_body,
             {{"Mangolink-Deadline-Ms", "99999999999999999999"}},
             "1104"},
            {"question", std::string(2'000'000, 'x'), {}, "1105"},
            {"question",
             valid_body,
             {{"Mangolink-Deadline-Ms", "10"}, {"Mangolink-Deadline-Ms", "20"}},
             "1106"},
            {"question", valid_body, {{"Mangolink-Priority", "12"}}, "1106"},
            {"commission", "{}", {{"Idempotency-Key", "made-up"}}, "1109"},
            {"question", "{\"input\": ", {}, "1110"},
            {"question", R"({"input": 7})", {}, "1110"},
            {"question", R"({"input": "a", "top_k": 0})", {}, "1110"},
        };
        for (const auto& request : requests)
        {
            section(
                "code " + request.code,
                [&]
                {
                    const auto result =
                        system.request("entry-1", request.pipeline,
                                       request.body, request.headers);
                    const json body = json::parse(result.body, nullptr, false);
                    CPPUNIT_ASSERT(body.is_object());
                    CPPUNIT_ASSERT_EQUAL(
                        request.code, std::to_string(body["code"].get<int>()));
                    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                                         body["outcome"].get<std::string>());
                });
        }
        section("no request ran",
                [&] { CPPUNIT_ASSERT(system.executions().empty()); });
        section(
            "the entry still serves",
            [&]
            {
                CPPUNIT_ASSERT_EQUAL(
                    200U,
                    system.request("entry-1", "question", valid_body).status);
            });
    }

    void administration()
    {
        deployment system({{"enc-1", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        const auto patch = [](int base, int number)
        {
            return json{{"base", base},
                        {"number", number},
                        {"author", "test"},
                        {"changes",
                         {{{"op", "add"},
                           {"path", "/customers/fettler"},
                           {"value", {{"share", 2}}}}}}}
                .dump();
        };
        section("without the key the status is not available",
                [&]
                {
                    http_client client;
                    const auto result = client.call(
                        {"GET", "http://" + system.caller_address("entry-1") +
                                    "/v1/status"});
                    CPPUNIT_ASSERT_EQUAL(404U, result.status);
                });
        section("a patch of an outdated number is refused",
                [&]
                {
                    const auto result = system.admin(
                        "entry-1", "POST", "/v1/patches/check", patch(7, 8));
                    CPPUNIT_ASSERT_EQUAL(409U, result.status);
                    CPPUNIT_ASSERT_EQUAL(
                        1600, json::parse(result.body)["code"].get<int>());
                });
        section(
            "a published patch takes effect at every process",
            [&]
            {
                const auto result = system.admin(
                    "entry-1", "POST", "/v1/patches/check", patch(1, 2));
                CPPUNIT_ASSERT_EQUAL(200U, result.status);
                system.platform("/control/publish",
                                json::parse(result.body)["publish"].dump());
                for (const std::string name : {"entry-1", "enc-1"})
                {
                    CPPUNIT_ASSERT(wait_until(
                        [&]
                        {
                            const auto status =
                                system.admin(name, "GET", "/v1/status");
                            return json::parse(
                                       status.body)["configuration_number"] ==
                                   2;
                        }));
                }
            });
        section("the audit trail names the author",
                [&]
                {
                    const auto result =
                        system.admin("entry-1", "GET", "/v1/audit");
                    const json records = json::parse(result.body)["records"];
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("test"),
                        records.back()["author"].get<std::string>());
                });
    }

    void command_lines()
    {
        deployment system({{"enc-1", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        const auto ctl = [&](std::vector<std::string> words)
        {
            words.insert(words.begin(), {"mangolink-ctl", "--address",
                                         system.admin_address("entry-1"),
                                         "--key", "test-key"});
            return system.run(words);
        };
        section(
            "mangolink-ctl prints tables and JSON",
            [&]
            {
                const auto members = ctl({"members"});
                CPPUNIT_ASSERT_EQUAL(0, members.exit_code);
                CPPUNIT_ASSERT(members.output.find("enc-1") !=
                               std::string::npos);
                const auto explained = ctl({"--json", "explain", "question"});
                CPPUNIT_ASSERT_EQUAL(
                    std::string("enc-1"),
                    json::parse(explained.output)["stages"][0]["candidates"][0]
                                                 ["server"]
                                                     .get<std::string>());
            });
        section("mangolink-ctl reports refused commands by its exit code",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(1, ctl({"explain", "none"}).exit_code);
                    CPPUNIT_ASSERT_EQUAL(2, ctl({"dance"}).exit_code);
                });
        section(
            "an entry checks its settings before anything starts",
            [&]
            {
                const auto checked =
                    system.run({"mangolink-entry", "--settings",
                                system.settings_path("entry-1"), "--set",
                                "entry.http_threads=0", "--check-settings"});
                CPPUNIT_ASSERT_EQUAL(2, checked.exit_code);
                CPPUNIT_ASSERT(checked.output.find(
                                   "entry.http_threads: must be a whole "
                                   "number from 1 to 64") != std::string::npos);
            });
        section("drain stops the entry gracefully",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(0, ctl({"drain"}).exit_code);
                    CPPUNIT_ASSERT_EQUAL(
                        0, system.process("entry-1").wait(milliseconds(20000)));
                });
    }

    void graceful_stop()
    {
        deployment system({{"eng-1", "engines", "engine"}},
                          pipelines_named({"talk"}), foundry_customers());
        system.start_all();
        http_result streamed;
        std::thread caller(
            [&]
            {
                streamed = system.request(
                    "entry-1", "talk", R"({"input": "a", "max_tokens": 100})",
                    {{"Accept", "text/event-stream"}});
            });
        CPPUNIT_ASSERT(
            wait_until([&] { return system.executions().size() == 1; }));
        system.process("entry-1").signal(SIGTERM);
        system.process("eng-1").signal(SIGTERM);
        caller.join();
        section("the stream in flight is not cut off",
                [&]
                {
                    CPPUNIT_ASSERT(streamed.body.find("\"w99 \"") !=
                                   std::string::npos);
                    CPPUNIT_ASSERT(
                        streamed.body.find(R"("outcome":"complete")") !=
                        std::string::npos);
                });
        section("both processes exit by themselves",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        0, system.process("entry-1").wait(milliseconds(20000)));
                    CPPUNIT_ASSERT_EQUAL(
                        0, system.process("eng-1").wait(milliseconds(20000)));
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(end_to_end_test);

} // namespace mangolink::test
