#include "support/section.hpp"
#include "support/test_cluster.hpp"

namespace mangolink::test
{

class forwarding_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forwarding_test);
    CPPUNIT_TEST(requests_pass_unchanged);
    CPPUNIT_TEST(invalid_requests_are_refused);
    CPPUNIT_TEST(badly_framed_requests_reach_no_server);
    CPPUNIT_TEST(slow_and_large_callers_are_bounded);
    CPPUNIT_TEST(several_requests_in_one_packet);
    CPPUNIT_TEST(a_raised_idle_limit_holds_for_open_connections);
    CPPUNIT_TEST(connections_beyond_the_limit_get_a_refusal);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_pass_unchanged()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        auto request = cluster.request("/orders/new?color=blue", "r1");
        request.set("X-Tenant", "somebody else");
        request.set("X-Kv-Retention", "mine");
        request.set("X-Note", "kept");
        request.set(http::field::connection, "X-Hop");
        request.set("X-Hop", "only for this connection");
        const auto answer = caller.send_request(request);
        const auto received = server.received();
        section("the answer of the server is passed on unchanged",
                [&]
                {
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                    CPPUNIT_ASSERT_EQUAL(answer_body("desk-1", "r1"),
                                         answer->body());
                    CPPUNIT_ASSERT((*answer)["X-Response-Seal"] ==
                                   "seal-desk-1");
                });
        section("path, query and body reach the server unchanged",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), received.size());
                    CPPUNIT_ASSERT_EQUAL(std::string("/orders/new?color=blue"),
                                         received[0].target);
                    CPPUNIT_ASSERT_EQUAL(std::string("body of r1"),
                                         received[0].body);
                });
        section("headers of the system are replaced, others are kept",
                [&]
                {
                    auto headers = received[0].headers;
                    CPPUNIT_ASSERT_EQUAL(std::string("casters"),
                                         headers["x-tenant"]);
                    CPPUNIT_ASSERT_EQUAL(std::string("kept"),
                                         headers["x-note"]);
                    CPPUNIT_ASSERT(std::stoi(headers["x-deadline-ms"]) <= 4000);
                    CPPUNIT_ASSERT(!headers.contains("x-key"));
                    CPPUNIT_ASSERT(!headers.contains("x-kv-retention"));
                    CPPUNIT_ASSERT(!headers.contains("x-hop"));
                });
    }

    void invalid_requests_are_refused()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        section("an unknown path",
                [&] { expect(caller, cluster.request("/none/x", "r1"), 404); });
        section("an unknown host",
                [&]
                {
                    auto request = cluster.request("/orders/x", "r2");
                    request.set(http::field::host, "other.example");
                    expect(caller, request, 404);
                });
        section("an unknown key",
                [&]
                {
                    auto request = cluster.request("/orders/x", "r3");
                    request.set("X-Key", "stolen");
                    expect(caller, request, 401);
                });
        section("a deadline that is not a number",
                [&]
                {
                    auto request = cluster.request("/orders/x", "r4");
                    request.set("X-Deadline-Ms", "soon");
                    expect(caller, request, 400);
                });
        section("a deadline that has passed",
                [&] {
                    expect(caller,
                           cluster.request("/orders/x", "r5", milliseconds(0)),
                           503);
                });
        section("no invalid request reached a server",
                [&] { CPPUNIT_ASSERT(server.received().empty()); });
        section("the connection still serves valid requests", [&]
                { expect(caller, cluster.request("/orders/x", "r6"), 200); });
        section("a missing deadline defaults to that of the route",
                [&]
                {
                    auto request = cluster.request("/orders/x", "r7");
                    request.erase("X-Deadline-Ms");
                    expect(caller, request, 200);
                });
    }

    void badly_framed_requests_reach_no_server()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        const std::string head =
            "POST /orders/x HTTP/1.1\r\nHost: "
            "site.example\r\nX-Attempt-Id: bad\r\nX-Key: " +
            std::string(test_key) + "\r\n";
        const std::string inner = "GET /orders/smuggled HTTP/1.1\r\nHost: "
                                  "site.example\r\n\r\n";
        const std::vector<std::string> bad{
            head +
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n" +
                inner,
            head + "Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello",
            head + "Content-Length: -1\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
            head + "X Space: 1\r\n\r\n",
            head + "Content-Length : 5\r\n\r\nhello",
            "GET /orders/\x01 HTTP/1.1\r\nHost: site.example\r\n\r\n",
            "NONSENSE\r\n\r\n"};
        for (std::size_t i = 0; i < bad.size(); ++i)
        {
            section("request " + std::to_string(i),
                    [&]
                    {
                        test_caller caller(gateway.callers());
                        caller.send(bad[i]);
                        const auto answer = caller.read_answer();
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(400U, answer->result_int());
                        CPPUNIT_ASSERT(
                            caller.closes_within(milliseconds(5000)));
                    });
        }
        section("no request reached a server",
                [&] { CPPUNIT_ASSERT(server.received().empty()); });
    }

    void slow_and_large_callers_are_bounded()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        section("headers over the limit",
                [&]
                {
                    test_caller caller(gateway.callers());
                    auto request = cluster.request("/orders/x", "r1");
                    request.set("X-Note", std::string(8000, 'x'));
                    expect(caller, request, 431);
                });
        section("a body over the limit",
                [&]
                {
                    test_caller caller(gateway.callers());
                    auto request = cluster.request("/orders/x", "r2");
                    request.body() = std::string(200'000, 'x');
                    expect(caller, request, 413);
                });
        section("headers that stay incomplete",
                [&]
                {
                    test_caller caller(gateway.callers());
                    caller.send("POST /orders/x HTTP/1.1\r\nHost: si");
                    const auto answer = caller.read_answer();
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(408U, answer->result_int());
                });
        section("a chunked body is passed on",
                [&]
                {
                    test_caller caller(gateway.callers());
                    auto request = cluster.request("/orders/x", "r3");
                    std::string text = "POST /orders/x HTTP/1.1\r\nHost: "
                                       "site.example\r\nX-Attempt-Id: r3\r\n"
                                       "X-Key: " +
                                       std::string(test_key) +
                                       "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       "4\r\nbody\r\n3\r\n of\r\n";
                    caller.send(text);
                    caller.send("3\r\n r3\r\n0\r\n\r\n");
                    const auto answer = caller.read_answer();
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                });
    }

    void several_requests_in_one_packet()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        const auto text = [](const std::string& id)
        {
            return "GET /orders/x HTTP/1.1\r\nHost: site.example\r\n"
                   "X-Attempt-Id: " +
                   id + "\r\nX-Key: " + test_key + "\r\n\r\n";
        };
        caller.send(text("one") + text("two") + text("three"));
        for (const std::string id : {"one", "two", "three"})
        {
            section("answer to " + id,
                    [&]
                    {
                        const auto answer = caller.read_answer();
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(answer_body("desk-1", id),
                                             answer->body());
                    });
        }
    }

    void a_raised_idle_limit_holds_for_open_connections()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        auto& limit = cluster.configuration()["limits"]["idleTimeoutMs"];
        limit = 1000;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        CPPUNIT_ASSERT(caller.send_request(cluster.request("/orders/x", "r1")));
        limit = 5000;
        cluster.publish();
        section("a request after the old limit is served",
                [&]
                {
                    CPPUNIT_ASSERT(!caller.closes_within(milliseconds(1500)));
                    const auto answer =
                        caller.send_request(cluster.request("/orders/x", "r2"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                    section("it announces an end before that limit",
                            [&] {
                                CPPUNIT_ASSERT((*answer)["Keep-Alive"] ==
                                               "timeout=4");
                            });
                });
        section("an idle connection is closed after the new limit", [&]
                { CPPUNIT_ASSERT(caller.closes_within(milliseconds(6000))); });
    }

    void connections_beyond_the_limit_get_a_refusal()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        // Each share of the descriptors is a whole number.
        auto& gateway = cluster.start_gateway("max_descriptors = 100\n");
        std::vector<std::unique_ptr<test_caller>> idle;
        idle.reserve(60);
        for (int i = 0; i < 60; ++i)
        {
            idle.push_back(std::make_unique<test_caller>(gateway.callers()));
        }
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                return gateway.fetch_operator_page("/status").find(
                           "\"open_callers\": 60") != std::string::npos;
            }));
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/orders/x", "r"));
        section("it promises that the request has not run",
                [&]
                {
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
                    CPPUNIT_ASSERT(!(*answer)["Retry-After"].empty());
                    CPPUNIT_ASSERT(!answer->keep_alive());
                });
        section("a caller that comes back later is served",
                [&]
                {
                    idle.clear();
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            test_caller next(gateway.callers());
                            const auto again = next.send_request(
                                cluster.request("/orders/x", "r2"));
                            return again && again->result_int() == 200;
                        }));
                });
    }

private:
    static void expect(test_caller& caller, const text_request& request,
                       unsigned status)
    {
        const auto answer = caller.send_request(request);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(status, answer->result_int());
        CPPUNIT_ASSERT(status == 200 ||
                       answer->find("X-Response-Seal") == answer->end());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarding_test);

} // namespace mangolink::test
