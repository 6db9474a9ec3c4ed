#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>
#include <utility>

namespace mangolink::test
{

/// Servers that state in their answers that they leave, while their entries
/// still say that they are ready.
class leaving_notice_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaving_notice_test);
    CPPUNIT_TEST(any_answer_ends_new_requests);
    CPPUNIT_TEST(only_another_start_brings_a_server_back);
    CPPUNIT_TEST(a_stream_in_progress_is_completed);
    CPPUNIT_TEST(a_stage_call_ends_new_calls_and_releases);
    CPPUNIT_TEST(a_memory_query_ends_new_calls);
    CPPUNIT_TEST_SUITE_END();

public:
    void any_answer_ends_new_requests()
    {
        for (const auto& [name, fault] :
             {std::pair("complete answer", backend_fault::none),
              std::pair("refusal", backend_fault::shed),
              std::pair("failure", backend_fault::failure)})
        {
            section(name,
                    [fault = fault]
                    {
                        test_cluster cluster;
                        auto& leaving = prepare(cluster, "idempotent");
                        auto& gateway = cluster.start_gateway();
                        leaving.set_notice(notice);
                        leaving.add_faults({fault});
                        test_caller caller(gateway.callers());
                        reach(cluster, caller, leaving);
                        assert_unused(cluster, caller, leaving);
                    });
        }
        section("head of a stream",
                []
                {
                    test_cluster cluster;
                    auto& leaving = prepare(cluster, "streaming");
                    auto& gateway = cluster.start_gateway();
                    leaving.set_notice(notice);
                    leaving.set_stream(3, milliseconds(1));
                    test_caller caller(gateway.callers());
                    reach(cluster, caller, leaving);
                    assert_unused(cluster, caller, leaving);
                });
    }

    void only_another_start_brings_a_server_back()
    {
        test_cluster cluster;
        auto& leaving = prepare(cluster, "idempotent");
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        leaving.set_notice(notice);
        reach(cluster, caller, leaving);
        leaving.set_notice("");
        section("the log names the source",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            return gateway.log_text().find(
                                       "stated in an answer") !=
                                   std::string::npos;
                        }));
                });
        section("a later entry of the same start",
                [&]
                {
                    cluster.register_server("desk-1", "ready");
                    cluster.add_backend("desk", "desk-3");
                    CPPUNIT_ASSERT(gateway.wait_for_servers(3));
                    assert_unused(cluster, caller, leaving);
                });
        section("an entry that was removed and is back",
                [&]
                {
                    cluster.unregister_server("desk-1");
                    CPPUNIT_ASSERT(gateway.wait_for_servers(2));
                    cluster.register_server("desk-1", "ready");
                    CPPUNIT_ASSERT(gateway.wait_for_servers(3));
                    assert_unused(cluster, caller, leaving);
                });
        section("another start",
                [&]
                {
                    cluster.restart_server("desk-1");
                    reach(cluster, caller, leaving);
                });
    }

    void a_stream_in_progress_is_completed()
    {
        test_cluster cluster;
        auto& leaving = prepare(cluster, "streaming");
        auto& gateway = cluster.start_gateway();
        leaving.set_stream(6, milliseconds(100));
        cluster.unregister_server("desk-2");
        CPPUNIT_ASSERT(gateway.wait_for_servers(1));
        test_caller streaming(gateway.callers());
        const auto begun = [&] { return !leaving.received().empty(); };
        std::optional<text_response> answer;
        std::thread stream(
            [&]
            {
                answer = streaming.send_request(
                    cluster.request("/desk/x", "in-progress"));
            });
        const bool has_begun = bench::wait_until(begun);
        leaving.set_notice(notice);
        test_caller caller(gateway.callers());
        reach(cluster, caller, leaving);
        stream.join();
        CPPUNIT_ASSERT(has_begun);
        section("both streams are complete",
                [&]
                {
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT(answer->body().find(event_text(6)) !=
                                   std::string::npos);
                });
        section("without another server, requests are refused",
                [&]
                {
                    const auto before = leaving.received().size();
                    CPPUNIT_ASSERT_EQUAL(503U, send(cluster, caller));
                    CPPUNIT_ASSERT_EQUAL(before, leaving.received().size());
                });
        section("its connections are closed",
                [&] {
                    CPPUNIT_ASSERT(
                        bench::wait_until([&] { return idle(gateway) == 0; }));
                });
    }

    void a_stage_call_ends_new_calls_and_releases()
    {
        test_cluster cluster;
        auto& gateway = prepare_stages(cluster);
        auto& leaving =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        CPPUNIT_ASSERT(gateway.wait_for_servers(2));
        leaving.set_notice(notice);
        test_caller caller(gateway.callers());
        CPPUNIT_ASSERT_EQUAL(200U, send_staged(cluster, caller));
        CPPUNIT_ASSERT(!leaving.received().empty());
        auto& other =
            cluster.add_stage_server("encode", "encode-2", milliseconds(20));
        CPPUNIT_ASSERT(gateway.wait_for_servers(3));
        CPPUNIT_ASSERT_EQUAL(200U, send_staged(cluster, caller));
        section("the results of the second request are released",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                                         other.received().size());
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return other.stored_results() == 0; }));
                });
        section("nothing but the first call reached the leaving server", [&]
                { CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.arrivals()); });
    }

    void a_memory_query_ends_new_calls()
    {
        test_cluster cluster;
        auto& gateway = prepare_stages(cluster);
        auto& leaving =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        CPPUNIT_ASSERT(gateway.wait_for_servers(2));
        leaving.set_full(true);
        std::thread during_query(
            [&]
            {
                bench::wait_until([&] { return !leaving.calls().empty(); });
                leaving.set_notice(notice);
                leaving.set_full(false);
            });
        test_caller caller(gateway.callers());
        section("without another server, the request is refused",
                [&]
                {
                    const auto status = send_staged(cluster, caller);
                    during_query.join();
                    CPPUNIT_ASSERT_EQUAL(503U, status);
                });
        section("another server gets the next items",
                [&]
                {
                    cluster.add_stage_server("encode", "encode-2",
                                             milliseconds(20));
                    CPPUNIT_ASSERT(gateway.wait_for_servers(3));
                    CPPUNIT_ASSERT_EQUAL(200U, send_staged(cluster, caller));
                });
        section("nothing follows the query", [&]
                { CPPUNIT_ASSERT_EQUAL(std::size_t(2), leaving.arrivals()); });
    }

private:
    static constexpr const char* notice = "Server-Leaving: 1";

    /// Adds a route with two servers; returns the one that will leave.
    static backend_standin& prepare(test_cluster& cluster,
                                    const std::string& kind)
    {
        auto& result = cluster.add_backend("desk", "desk-1");
        cluster.add_backend("desk", "desk-2");
        cluster.add_route("/desk/", kind, "desk");
        cluster.publish();
        return result;
    }

    static gateway_process& prepare_stages(test_cluster& cluster)
    {
        cluster.add_backend("desk", "desk-1").set_stream(2, milliseconds(1));
        auto& route = cluster.add_route("/desk/", "streaming", "desk");
        cluster.add_stage(route);
        cluster.publish();
        return cluster.start_gateway();
    }

    static unsigned send(test_cluster& cluster, test_caller& caller)
    {
        static std::atomic<int> number{0};
        const std::string id = "r" + std::to_string(++number);
        const auto answer = caller.send_request(cluster.request("/desk/x", id));
        return answer ? answer->result_int() : 0;
    }

    static unsigned send_staged(test_cluster& cluster, test_caller& caller)
    {
        static std::atomic<int> number{0};
        const std::string id = "s" + std::to_string(++number);
        const auto answer =
            caller.send_request(cluster.staged_request("/desk/x", id, "3"));
        return answer ? answer->result_int() : 0;
    }

    /// Sends requests until one more has reached the server.
    static void reach(test_cluster& cluster, test_caller& caller,
                      const backend_standin& server)
    {
        const auto before = server.received().size();
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                send(cluster, caller);
                return server.received().size() > before;
            }));
    }

    static void assert_unused(test_cluster& cluster, test_caller& caller,
                              const backend_standin& server)
    {
        const auto before = server.received().size();
        for (int i = 0; i < 8; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(cluster, caller));
        }
        CPPUNIT_ASSERT_EQUAL(before, server.received().size());
    }

    static std::size_t idle(const gateway_process& gateway)
    {
        const std::string name = "\nmangolink_idle_backend_connections ";
        const auto page = gateway.fetch_operator_page("/metrics");
        const auto at = page.find(name);
        return at == std::string::npos
                   ? 1
                   : std::stoul(page.substr(at + name.size()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_notice_test);

} // namespace mangolink::test
