#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{
namespace
{

/// Longer than a watch of the store and the read after it.
constexpr milliseconds reread_time{2500};

} // namespace

/// Zones that are evacuated, regions that requests must not leave, and servers
/// that are cold, with gateways that read the store or follow one that does.
class evacuation_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(an_evacuated_zone_gets_nothing_until_it_is_taken_back);
    CPPUNIT_TEST(a_running_stream_goes_on);
    CPPUNIT_TEST(a_gateway_that_starts_knows_the_evacuation);
    CPPUNIT_TEST(a_key_without_a_zone_is_ignored);
    CPPUNIT_TEST(a_store_that_lost_the_request_ends_nothing);
    CPPUNIT_TEST(lost_history_hides_no_evacuation);
    CPPUNIT_TEST(requests_stay_in_their_regions);
    CPPUNIT_TEST(a_cold_server_gets_its_rate);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_evacuated_zone_gets_nothing_until_it_is_taken_back()
    {
        test_cluster cluster;
        auto& away = prepare(cluster);
        auto& one = cluster.start_gateway();
        auto& two = cluster.start_gateway();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return one.reads_store() != two.reads_store(); }));
        cluster.evacuate("z1");
        for (auto* gateway : {&one, &two})
        {
            wait_for_log(*gateway, "Zone is evacuated.", 1);
        }
        const auto received = away.received().size();
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(one));
            CPPUNIT_ASSERT_EQUAL(200U, send(two));
        }
        CPPUNIT_ASSERT_EQUAL(received, away.received().size());
        section("operators see it",
                [&]
                {
                    const auto page = one.fetch_operator_page("/placement");
                    CPPUNIT_ASSERT(page.find("\"zone\": \"z1\"") !=
                                   std::string::npos);
                });
        section("all zones: refused at once",
                [&]
                {
                    cluster.evacuate("z2");
                    wait_for_log(two, "Zone is evacuated.", 2);
                    CPPUNIT_ASSERT_EQUAL(503U, send(two));
                });
        section("taken back",
                [&]
                {
                    cluster.take_back("z1");
                    for (auto* gateway : {&one, &two})
                    {
                        wait_for_log(*gateway, "Zone is taken back.", 1);
                        CPPUNIT_ASSERT_EQUAL(200U, send(*gateway));
                    }
                });
    }

    void a_running_stream_goes_on()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        cluster.set_zone("desk-2", "z1");
        cluster.unregister_server("desk-2");
        cluster.add_route("/stream/", "streaming", "desk");
        cluster.publish();
        server.set_stream(10, milliseconds(150));
        auto& gateway = cluster.start_gateway();
        CPPUNIT_ASSERT(gateway.wait_for_servers(1));
        std::optional<text_response> answer;
        std::thread caller(
            [&]
            {
                test_caller own(gateway.callers());
                answer = own.send_request(
                    test_cluster::request("/stream/x", "stream"));
            });
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return !server.received().empty(); }));
        cluster.evacuate("z1");
        caller.join();
        CPPUNIT_ASSERT(gateway.log_text().find("Zone is evacuated.") !=
                       std::string::npos);
        CPPUNIT_ASSERT(answer && answer->result_int() == 200);
        CPPUNIT_ASSERT(answer->body().find("id: 10") != std::string::npos);
    }

    void a_gateway_that_starts_knows_the_evacuation()
    {
        test_cluster cluster;
        auto& away = prepare(cluster);
        cluster.evacuate("z1");
        auto& gateway = cluster.start_gateway();
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(gateway));
        }
        CPPUNIT_ASSERT(away.received().empty());
    }

    void a_key_without_a_zone_is_ignored()
    {
        test_cluster cluster;
        auto& used = prepare(cluster);
        cluster.evacuate("");
        cluster.evacuate("unknown");
        auto& gateway = cluster.start_gateway();
        wait_for_log(gateway, "cannot be parsed", 1);
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(gateway));
        }
        CPPUNIT_ASSERT(!used.received().empty());
    }

    void a_store_that_lost_the_request_ends_nothing()
    {
        test_cluster cluster;
        auto& away = prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        cluster.evacuate("z1");
        wait_for_log(gateway, "Zone is evacuated.", 1);
        cluster.store().come_back();
        wait_for_log(gateway, "came back from an older copy", 1);
        section("within the time for writing it again",
                [&]
                {
                    for (int i = 0; i < 10; ++i)
                    {
                        CPPUNIT_ASSERT_EQUAL(200U, send(gateway));
                        std::this_thread::sleep_for(milliseconds(50));
                    }
                    CPPUNIT_ASSERT(away.received().empty());
                });
        section("written again: it holds on",
                [&]
                {
                    cluster.evacuate("z1");
                    std::this_thread::sleep_for(reread_time * 2);
                    CPPUNIT_ASSERT_EQUAL(200U, send(gateway));
                    CPPUNIT_ASSERT(away.received().empty());
                });
        section("not written again after the next return: it is over",
                [&]
                {
                    cluster.store().come_back();
                    wait_for_log(gateway, "Zone is taken back.", 1);
                });
    }

    void lost_history_hides_no_evacuation()
    {
        test_cluster cluster;
        auto& away = prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().set_mode(store_mode::unresponsive);
        cluster.evacuate("z1");
        cluster.store().compact();
        cluster.store().set_mode(store_mode::serving);
        wait_for_log(gateway, "Zone is evacuated.", 1);
        CPPUNIT_ASSERT_EQUAL(200U, send(gateway));
        CPPUNIT_ASSERT(away.received().empty());
    }

    void requests_stay_in_their_regions()
    {
        test_cluster cluster;
        auto& near = prepare(cluster);
        auto& home = *home_;
        auto& gateway = cluster.start_gateway();
        bind(cluster, {"r2"});
        expect_sent_to(gateway, home, near);
        section(
            "a customer binds too: no common region",
            [&]
            {
                cluster.configuration()["tenants"][0]["allowedRegions"] = {
                    "r1"};
                cluster.publish();
                CPPUNIT_ASSERT(
                    bench::wait_until([&] { return send(gateway) == 503; }));
                const auto page = gateway.fetch_operator_page("/metrics");
                CPPUNIT_ASSERT(page.find("mangolink_region_refusals_total{why="
                                         "\"no_region\"}") !=
                               std::string::npos);
                cluster.configuration()["tenants"][0].erase("allowedRegions");
            });
        section("the home is lost: refused, never sent elsewhere",
                [&]
                {
                    bind(cluster, {"r2"});
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return send(gateway) == 200; }));
                    const auto received = near.received().size();
                    cluster.unregister_server("desk-2");
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return send(gateway) == 503; }));
                    CPPUNIT_ASSERT_EQUAL(received, near.received().size());
                });
        section("odd values allow no region",
                [&]
                {
                    for (const nlohmann::json& odd :
                         {nlohmann::json("r1"), nlohmann::json(nullptr),
                          nlohmann::json({""}), nlohmann::json({7}),
                          nlohmann::json({"unknown"})})
                    {
                        bind(cluster, {"r1"});
                        CPPUNIT_ASSERT(bench::wait_until(
                            [&] { return send(gateway) == 200; }));
                        bind(cluster, odd);
                        CPPUNIT_ASSERT(bench::wait_until(
                            [&] { return send(gateway) == 503; }));
                    }
                });
    }

    void a_cold_server_gets_its_rate()
    {
        test_cluster cluster;
        auto& cold = prepare(cluster);
        cluster.set_cold("desk-1", milliseconds(60'000));
        cluster.unregister_server("desk-2");
        cluster.configuration()["services"].push_back(
            {{"name", "desk"}, {"maxConnections", 10}, {"coldPerS", 4.0}});
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        wait_for_log(gateway, "Server is cold.", 1);
        section("nothing until others would have been heard of",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(503U, send(gateway));
                    std::this_thread::sleep_for(reread_time);
                    CPPUNIT_ASSERT(cold.received().empty());
                });
        section("no more than it takes",
                [&]
                {
                    const auto end = boot_clock::now() + milliseconds(2000);
                    while (boot_clock::now() < end)
                    {
                        send(gateway);
                    }
                    // A burst of half a second and two, and two seconds.
                    CPPUNIT_ASSERT(cold.received().size() <= 4 + 8 + 1);
                    CPPUNIT_ASSERT(cold.received().size() >= 4);
                    CPPUNIT_ASSERT_EQUAL(503U, send(gateway));
                });
        section("all once it is warm",
                [&]
                {
                    cluster.set_cold("desk-1", milliseconds(0));
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            int served = 0;
                            while (served < 20 && send(gateway) == 200)
                            {
                                ++served;
                            }
                            return served == 20;
                        }));
                });
    }

private:
    /// Adds desk-1 in zone z1, which is returned, and desk-2 in zone z2.
    backend_standin& prepare(test_cluster& cluster)
    {
        auto& near = cluster.add_backend("desk", "desk-1");
        home_ = &cluster.add_backend("desk", "desk-2");
        cluster.set_zone("desk-2", "z2");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        return near;
    }

    static void bind(test_cluster& cluster, const nlohmann::json& regions)
    {
        cluster.configuration()["routes"][0]["allowedRegions"] = regions;
        cluster.publish();
    }

    static void expect_sent_to(const gateway_process& gateway,
                               const backend_standin& wanted,
                               const backend_standin& other)
    {
        std::size_t before = 0;
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                before = other.received().size();
                for (int i = 0; i < 5; ++i)
                {
                    send(gateway);
                }
                return other.received().size() == before;
            }));
        const auto received = wanted.received().size();
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(gateway));
        }
        CPPUNIT_ASSERT_EQUAL(received + 20, wanted.received().size());
        CPPUNIT_ASSERT_EQUAL(before, other.received().size());
    }

    static void wait_for_log(const gateway_process& gateway,
                             const std::string& text, std::size_t times)
    {
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                const auto log = gateway.log_text();
                std::size_t found = 0;
                for (auto at = log.find(text); at != std::string::npos;
                     at = log.find(text, at + 1))
                {
                    ++found;
                }
                return found >= times;
            }));
    }

    static unsigned send(const gateway_process& gateway)
    {
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(test_cluster::request("/orders/x", "r"));
        return answer ? answer->result_int() : 0;
    }

    backend_standin* home_ = nullptr; ///< in zone z2
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace mangolink::test
