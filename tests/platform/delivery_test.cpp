#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <algorithm>
#include <thread>

namespace mangolink::test
{

/// Faulty backend servers: which results callers get, and which requests may
/// run twice.
class delivery_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(delivery_test);
    CPPUNIT_TEST(non_idempotent_requests_run_once);
    CPPUNIT_TEST(idempotent_requests_are_sent_again);
    CPPUNIT_TEST(answers_reach_only_their_request);
    CPPUNIT_TEST(incomplete_answers_are_not_delivered);
    CPPUNIT_TEST(unreachable_servers_are_passed_over);
    CPPUNIT_TEST(a_server_at_the_address_of_another_uses_up_no_attempt);
    CPPUNIT_TEST(a_late_copy_of_a_refusal_refuses_no_other_request);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_late_copy_of_a_refusal_refuses_no_other_request()
    {
        test_cluster cluster;
        auto& desk = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.add_route("/talk/", "streaming", "desk")["streamResume"] = true;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        unsigned number = 0;
        const auto send = [&](const std::string& path, milliseconds pause)
        {
            const auto refused = "a" + std::to_string(++number);
            const auto served = "b" + std::to_string(number);
            test_caller caller(gateway.callers());
            auto answer = caller.send_request(cluster.request(path, refused));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), desk.run_count(refused));
            std::this_thread::sleep_for(pause);
            answer = caller.send_request(cluster.request(path, served));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
            CPPUNIT_ASSERT((*answer)["X-Attempt-Id"] == served);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), desk.run_count(served));
        };
        for (const auto kind :
             {backend_fault::shed_copy, backend_fault::too_many_copy})
        {
            for (const char* path : {"/orders/x", "/talk/x"})
            {
                const bool streams = std::string(path) == "/talk/x";
                const auto prepare = [&]
                {
                    desk.set_stream(streams ? 3 : 0, milliseconds(150));
                    desk.add_faults({kind});
                };
                section("it comes before the next request",
                        [&]
                        {
                            prepare();
                            send(path, milliseconds(600));
                        });
                section("while that runs",
                        [&]
                        {
                            prepare();
                            desk.set_delay(milliseconds(800));
                            send(path, milliseconds(0));
                            desk.set_delay({});
                        });
                section("at about the same moment",
                        [&]
                        {
                            prepare();
                            send(path, milliseconds(395));
                        });
            }
        }
    }

    void non_idempotent_requests_run_once()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("desk", "desk-1");
        auto& two = cluster.add_backend("desk", "desk-2");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        const auto send_request =
            [&](const std::string& id, backend_fault fault)
        {
            one.add_faults({fault});
            two.add_faults({fault});
            test_caller caller(gateway.callers());
            const auto answer =
                caller.send_request(cluster.request("/orders/x", id));
            CPPUNIT_ASSERT(answer);
            // Only one server may have got the request; the other still has
            // its fault.
            one.clear_faults();
            two.clear_faults();
            return answer->result_int();
        };
        section("a lost answer gives an unknown result without a resend",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        502U, send_request("lost", backend_fault::answer_lost));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         one.run_count("lost") +
                                             two.run_count("lost"));
                });
        section("a refusal without proof is not reported as a refusal",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        502U,
                        send_request("busy", backend_fault::unproven_refusal));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         one.run_count("busy") +
                                             two.run_count("busy"));
                });
        section("a proven refusal by all servers is reported as a refusal",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        503U, send_request("shed", backend_fault::shed));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                         one.run_count("shed") +
                                             two.run_count("shed"));
                });
        section("a server error is passed on, and the request runs once",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        500U, send_request("fail", backend_fault::failure));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         one.run_count("fail") +
                                             two.run_count("fail"));
                });
    }

    void idempotent_requests_are_sent_again()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("desk", "desk-1");
        auto& two = cluster.add_backend("desk", "desk-2");
        cluster.add_route("/status/", "idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (const auto fault :
             {backend_fault::answer_lost, backend_fault::failure,
              backend_fault::truncated, backend_fault::unsigned_success,
              backend_fault::unframed_reset, backend_fault::hang,
              backend_fault::shed, backend_fault::unproven_refusal})
        {
            const std::string id =
                "again-" + std::to_string(static_cast<int>(fault));
            section(id,
                    [&]
                    {
                        one.add_faults({fault});
                        two.add_faults({fault});
                        test_caller caller(gateway.callers());
                        auto request = cluster.request("/status/x", id);
                        const auto answer = caller.send_request(request);
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(one, id));
                        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(two, id));
                        const auto next = caller.send_request(
                            cluster.request("/status/x", id + "-next"));
                        CPPUNIT_ASSERT(next);
                        CPPUNIT_ASSERT_EQUAL(200U, next->result_int());
                    });
        }
    }

    void answers_reach_only_their_request()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        section("an answer to another request is skipped",
                [&]
                {
                    server.add_faults({backend_fault::foreign_answer});
                    const auto answer =
                        caller.send_request(cluster.request("/orders/x", "r1"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(answer_body("desk-1", "r1"),
                                         answer->body());
                });
        section("a surplus answer is not delivered to any request",
                [&]
                {
                    server.add_faults({backend_fault::extra_answer});
                    caller.send_request(cluster.request("/orders/x", "r2"));
                    for (int i = 0; i < 3; ++i)
                    {
                        const std::string id = "after-" + std::to_string(i);
                        const auto answer = caller.send_request(
                            cluster.request("/orders/x", id));
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(answer_body("desk-1", id),
                                             answer->body());
                    }
                });
    }

    void incomplete_answers_are_not_delivered()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        const auto send_request =
            [&](const std::string& id, backend_fault fault)
        {
            server.add_faults({fault});
            test_caller caller(gateway.callers());
            const auto answer =
                caller.send_request(cluster.request("/orders/x", id));
            CPPUNIT_ASSERT(answer);
            return answer->result_int();
        };
        section("an answer that ends with a closed connection is complete",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(
                        200U, send_request("u", backend_fault::unframed));
                });
        section("an answer that ends with a reset is incomplete",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        502U,
                        send_request("ur", backend_fault::unframed_reset));
                });
        section("an answer shorter than its Content-Length is incomplete",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(
                        502U, send_request("t", backend_fault::truncated));
                });
        section("a success without a signature is not delivered",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        502U,
                        send_request("s", backend_fault::unsigned_success));
                });
    }

    void a_server_at_the_address_of_another_uses_up_no_attempt()
    {
        test_cluster cluster;
        const backend_standin other("orders-1");
        for (const char* id : {"desk-1", "desk-2"})
        {
            cluster.add_backend("desk", id);
            cluster.set_address(id, other.address());
        }
        auto& sound = cluster.add_backend("desk", "desk-3");
        cluster.add_route("/orders/", "non_idempotent", "desk")["maxAttempts"] =
            1;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (int i = 0; i < 10; ++i)
        {
            const std::string id = "r" + std::to_string(i);
            test_caller caller(gateway.callers());
            const auto answer =
                caller.send_request(cluster.request("/orders/x", id));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), sound.run_count(id));
        }
        CPPUNIT_ASSERT(!other.received().empty());
    }

    void unreachable_servers_are_passed_over()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        auto& unreachable_server = cluster.add_backend("desk", "desk-2");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        unreachable_server.server().set_unreachable(true);
        for (int i = 0; i < 8; ++i)
        {
            test_caller caller(gateway.callers());
            const auto answer = caller.send_request(
                cluster.request("/orders/x", "r" + std::to_string(i)));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT(answer->result_int() == 200 ||
                           answer->result_int() == 502);
            CPPUNIT_ASSERT(
                unreachable_server.run_count("r" + std::to_string(i)) == 0);
        }
    }

private:
    static std::size_t count(const backend_standin& server,
                             const std::string& id)
    {
        const auto received = server.received();
        return static_cast<std::size_t>(std::count_if(
            received.begin(), received.end(),
            [&id](const auto& request) { return request.id == id; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(delivery_test);

} // namespace mangolink::test
