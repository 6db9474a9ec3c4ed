#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{

/// Servers that refuse work and state for how long they want none.
class server_hold_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_hold_test);
    CPPUNIT_TEST(a_held_server_gets_no_requests_until_the_hold_ends);
    CPPUNIT_TEST(other_servers_are_used_meanwhile);
    CPPUNIT_TEST(another_start_ends_a_hold);
    CPPUNIT_TEST(stage_items_wait_for_the_end_of_a_hold);
    CPPUNIT_TEST(stage_items_go_elsewhere_and_releases_wait);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_held_server_gets_no_requests_until_the_hold_ends()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        hold_with_next_request(server);
        section("the request is refused until the hold ends",
                [&] { assert_refused(send(cluster, caller)); });
        section("all later ones are refused without being sent",
                [&]
                {
                    for (int i = 0; i < 10; ++i)
                    {
                        assert_refused(send(cluster, caller));
                        std::this_thread::sleep_for(hold / 15);
                    }
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         server.received().size());
                });
        section("the hold ends in time",
                [&]
                {
                    std::this_thread::sleep_for(hold);
                    CPPUNIT_ASSERT_EQUAL(200U,
                                         send(cluster, caller).result_int());
                });
    }

    void other_servers_are_used_meanwhile()
    {
        test_cluster cluster;
        auto& held = prepare(cluster);
        cluster.add_backend("desk", "desk-2");
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        hold_with_next_request(held);
        while (held.received().empty())
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(cluster, caller).result_int());
        }
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(cluster, caller).result_int());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held.received().size());
    }

    void another_start_ends_a_hold()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        server.set_notice("Retry-After: 60");
        server.add_faults({backend_fault::shed});
        CPPUNIT_ASSERT_EQUAL(503U, send(cluster, caller).result_int());
        CPPUNIT_ASSERT_EQUAL(503U, send(cluster, caller).result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.received().size());
        cluster.restart_server("desk-1");
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return send(cluster, caller).result_int() == 200; }));
    }

    void stage_items_wait_for_the_end_of_a_hold()
    {
        test_cluster cluster;
        auto& gateway = prepare_stages(cluster);
        auto& server =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        server.set_notice(notice);
        server.shed_next(1);
        test_caller caller(gateway.callers());
        const auto begin = boot_clock::now();
        std::optional<text_response> answer;
        CPPUNIT_ASSERT(gateway.wait_for_servers(2));
        std::thread waiting([&] { answer = send_staged(cluster, caller); });
        std::this_thread::sleep_for(hold * 2 / 3);
        const auto arrivals = server.arrivals();
        waiting.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), arrivals);
        CPPUNIT_ASSERT(boot_clock::now() - begin >= hold);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    }

    void stage_items_go_elsewhere_and_releases_wait()
    {
        test_cluster cluster;
        auto& gateway = prepare_stages(cluster);
        auto& held =
            cluster.add_stage_server("encode", "encode-1", milliseconds(300));
        CPPUNIT_ASSERT(gateway.wait_for_servers(2));
        test_caller first(gateway.callers());
        test_caller second(gateway.callers());
        // The result of the first call is released during the hold.
        engine_->set_delay(milliseconds(400));
        std::optional<text_response> answer;
        std::thread waiting([&] { answer = send_staged(cluster, first); });
        bench::wait_until([&] { return !engine_->received().empty(); });
        held.set_notice(notice);
        held.shed_next(1);
        const auto begin = boot_clock::now();
        std::thread replacing(
            [&]
            {
                bench::wait_until([&] { return held.arrivals() == 2; });
                cluster.add_stage_server("encode", "encode-2",
                                         milliseconds(20));
            });
        const auto status = send_staged(cluster, second)->result_int();
        replacing.join();
        waiting.join();
        const auto arrivals = held.arrivals();
        const auto took = boot_clock::now() - begin;
        section("the items go to another server",
                [&] { CPPUNIT_ASSERT_EQUAL(200U, status); });
        section("the release waits",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2), arrivals);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), held.stored_results());
                    CPPUNIT_ASSERT(took < hold);
                });
        section("it follows after the hold",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return held.stored_results() == 0; }));
                });
    }

private:
    static constexpr milliseconds hold{1500};
    static constexpr const char* notice = "Retry-After: 1.5";

    static backend_standin& prepare(test_cluster& cluster)
    {
        auto& result = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/desk/", "idempotent", "desk");
        cluster.publish();
        return result;
    }

    gateway_process& prepare_stages(test_cluster& cluster)
    {
        engine_ = &cluster.add_backend("desk", "desk-1");
        engine_->set_stream(2, milliseconds(1));
        auto& route = cluster.add_route("/desk/", "streaming", "desk");
        cluster.add_stage(route, milliseconds(4000));
        cluster.publish();
        return cluster.start_gateway();
    }

    static void hold_with_next_request(backend_standin& server)
    {
        server.set_notice(notice);
        server.add_faults({backend_fault::shed});
    }

    static text_response send(test_cluster& cluster, test_caller& caller)
    {
        static std::atomic<int> number{0};
        const std::string id = "r" + std::to_string(++number);
        const auto answer = caller.send_request(cluster.request("/desk/x", id));
        CPPUNIT_ASSERT(answer);
        return *answer;
    }

    static std::optional<text_response> send_staged(test_cluster& cluster,
                                                    test_caller& caller)
    {
        static std::atomic<int> number{0};
        const std::string id = "s" + std::to_string(++number);
        return caller.send_request(cluster.staged_request("/desk/x", id, "1"));
    }

    /// Requires a refusal that names a time up to the end of the hold.
    static void assert_refused(const text_response& answer)
    {
        CPPUNIT_ASSERT_EQUAL(503U, answer.result_int());
        const auto text = answer[http::field::retry_after];
        const double wait = std::stod(std::string(text));
        CPPUNIT_ASSERT(wait > 0.2);
        CPPUNIT_ASSERT(wait <= 1.5);
    }

    backend_standin* engine_ = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_hold_test);

} // namespace mangolink::test
