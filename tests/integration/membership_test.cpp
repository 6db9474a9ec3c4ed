#include "lab/deployment.hpp"
#include "support/foundry_configuration.hpp"
#include "support/section.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

namespace mangolink::test
{
namespace
{

using nlohmann::json;
using namespace mangolink::bench;

constexpr const char* valid_body = R"({"input": "tin"})";

json status_of(const deployment& system, const std::string& process)
{
    const auto result = system.admin(process, "GET", "/v1/status");
    return json::parse(result.body, nullptr, false);
}

bool reaches_number(const deployment& system, const std::string& process,
                    std::uint64_t number)
{
    return wait_until(
        [&]
        {
            const json status = status_of(system, process);
            return status.is_object() &&
                   status["configuration_number"] == number;
        });
}

std::string patch(std::uint64_t base)
{
    const json change{{"op", "add"},
                      {"path", "/customers/new-" + std::to_string(base)},
                      {"value", json::object()}};
    return json{{"base", base},
                {"number", base + 1},
                {"author", "test"},
                {"changes", json::array({change})}}
        .dump();
}

} // namespace

class membership_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(instance_list_shows_leaving);
    CPPUNIT_TEST(configuration_reaches_agents_without_the_service);
    CPPUNIT_TEST(stale_service_does_not_revert_configuration);
    CPPUNIT_TEST(entry_returns_on_its_address);
    CPPUNIT_TEST_SUITE_END();

public:
    void instance_list_shows_leaving()
    {
        deployment system({{"enc-1", "encoders"}, {"enc-2", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        system.platform("/control/instances", R"([
            {"name": "enc-1", "zone": "zone-a", "state": "leaving"},
            {"name": "enc-2", "zone": "zone-a", "state": "live"},
            {"name": "entry-1", "zone": "zone-a", "state": "live"}])");
        section("the agent of the leaving instance exits",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        0, system.process("enc-1").wait(milliseconds(20000)));
                });
        section("all requests go to the other agent",
                [&]
                {
                    const std::size_t before = system.executions().size();
                    for (int i = 0; i < 10; ++i)
                    {
                        CPPUNIT_ASSERT_EQUAL(
                            200U,
                            system.request("entry-1", "question", valid_body)
                                .status);
                    }
                    const json executions = system.executions();
                    CPPUNIT_ASSERT_EQUAL(before + 10, executions.size());
                    for (const auto& execution : executions)
                    {
                        CPPUNIT_ASSERT_EQUAL(
                            std::string("enc-2"),
                            execution["server"].get<std::string>());
                    }
                });
    }

    void configuration_reaches_agents_without_the_service()
    {
        deployment system({{"enc-1", "encoders"}, {"enc-2", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        const std::string cut_off = "platform.configuration_service="
                                    "\"127.0.0.1:1\"";
        system.start_agent("enc-1", {cut_off});
        system.start_agent("enc-2", {cut_off});
        system.start_entry("entry-1");
        section("the first configuration arrives from peers",
                [&]
                {
                    CPPUNIT_ASSERT(reaches_number(system, "enc-1", 1));
                    CPPUNIT_ASSERT(reaches_number(system, "enc-2", 1));
                });
        section("patches arrive from peers in order",
                [&]
                {
                    for (std::uint64_t base = 1; base <= 5; ++base)
                    {
                        system.platform("/control/publish", patch(base));
                    }
                    CPPUNIT_ASSERT(reaches_number(system, "enc-1", 6));
                    CPPUNIT_ASSERT(reaches_number(system, "enc-2", 6));
                });
        section("entry and agent have the same digest",
                [&]
                {
                    const json digest =
                        status_of(system, "entry-1")["configuration_digest"];
                    CPPUNIT_ASSERT_EQUAL(
                        digest,
                        status_of(system, "enc-1")["configuration_digest"]);
                });
    }

    void stale_service_does_not_revert_configuration()
    {
        deployment system({{"enc-1", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        system.platform("/control/publish", patch(1));
        CPPUNIT_ASSERT(reaches_number(system, "entry-1", 2));
        CPPUNIT_ASSERT(reaches_number(system, "enc-1", 2));
        system.platform("/control/mode", R"({"stale": true})");
        system.process("entry-1").signal(SIGKILL);
        system.process("entry-1").wait(milliseconds(5000));
        system.start_entry("entry-1");
        section("a restarted entry that reads an old configuration gets the "
                "current one from its agents",
                [&] { CPPUNIT_ASSERT(reaches_number(system, "entry-1", 2)); });
        section("further reads of the old configuration change nothing",
                [&]
                {
                    const auto reads = [&]
                    {
                        return json::parse(
                                   system.platform("/control/reads").body)
                            .value("reads", 0);
                    };
                    const int before = reads();
                    CPPUNIT_ASSERT(
                        wait_until([&] { return reads() > before + 3; }));
                    CPPUNIT_ASSERT_EQUAL(
                        json(2),
                        status_of(system, "entry-1")["configuration_number"]);
                    CPPUNIT_ASSERT_EQUAL(
                        json(2),
                        status_of(system, "enc-1")["configuration_number"]);
                });
    }

    void entry_returns_on_its_address()
    {
        deployment system({{"enc-1", "encoders", "pool", 400'000}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        http_result lost;
        std::thread caller(
            [&] { lost = system.request("entry-1", "question", valid_body); });
        CPPUNIT_ASSERT(
            wait_until([&] { return system.executions().size() == 1; }));
        system.process("entry-1").signal(SIGKILL);
        system.process("entry-1").wait(milliseconds(5000));
        caller.join();
        system.start_entry("entry-1");
        CPPUNIT_ASSERT(system.ready("entry-1", 1));
        section("the caller of the killed entry got no answer",
                [&] { CPPUNIT_ASSERT_EQUAL(0U, lost.status); });
        section("a caller of the restarted entry gets its own answer",
                [&]
                {
                    const auto result = system.request("entry-1", "question",
                                                       R"({"input": "other"})");
                    CPPUNIT_ASSERT_EQUAL(200U, result.status);
                    const json executions = system.executions();
                    CPPUNIT_ASSERT_EQUAL(
                        executions.back()["request_id"],
                        json::parse(result.body)["request_id"]);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace mangolink::test
