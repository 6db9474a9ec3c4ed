#include "support/platform_site.hpp"
#include "support/story.hpp"

#include <algorithm>

namespace mangolink::test
{

/// Faulty backend servers: what a caller may be told, and what may run twice.
class delivery_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(delivery_test);
    CPPUNIT_TEST(non_idempotent_requests_run_once);
    CPPUNIT_TEST(idempotent_requests_are_sent_again);
    CPPUNIT_TEST(answers_reach_only_their_request);
    CPPUNIT_TEST(incomplete_answers_are_not_delivered);
    CPPUNIT_TEST(unreachable_servers_are_passed_over);
    CPPUNIT_TEST_SUITE_END();

public:
    void non_idempotent_requests_run_once()
    {
        platform_site site;
        auto& one = site.add_backend("desk", "desk-1");
        auto& two = site.add_backend("desk", "desk-2");
        site.add_route("/orders/", "non_idempotent", "desk");
        site.publish();
        auto& gateway = site.start_gateway();
        const auto ask = [&](const std::string& id, backend_fault fault)
        {
            one.add_faults({fault});
            two.add_faults({fault});
            test_caller caller(gateway.callers());
            const auto answer = caller.ask(site.request("/orders/x", id));
            CPPUNIT_ASSERT(answer);
            // Only one server may have been asked.
            one.clear_faults();
            two.clear_faults();
            return answer->result_int();
        };
        section("an answer that was lost is unknown, not repeated",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        502U, ask("lost", backend_fault::answer_lost));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         one.runs("lost") + two.runs("lost"));
                });
        section("a refusal without proof is not passed on as one",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        502U, ask("busy", backend_fault::unproven_refusal));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         one.runs("busy") + two.runs("busy"));
                });
        section("a proven refusal by all servers is a refusal",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(503U,
                                         ask("shed", backend_fault::shed));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                         one.runs("shed") + two.runs("shed"));
                });
        section("a failure of the server is passed on, once",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(500U,
                                         ask("fail", backend_fault::failure));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         one.runs("fail") + two.runs("fail"));
                });
    }

    void idempotent_requests_are_sent_again()
    {
        platform_site site;
        auto& one = site.add_backend("desk", "desk-1");
        auto& two = site.add_backend("desk", "desk-2");
        site.add_route("/status/", "idempotent", "desk");
        site.publish();
        auto& gateway = site.start_gateway();
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
                        auto request = site.request("/status/x", id);
                        const auto answer = caller.ask(request);
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(one, id));
                        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(two, id));
                        const auto next =
                            caller.ask(site.request("/status/x", id + "-next"));
                        CPPUNIT_ASSERT(next);
                        CPPUNIT_ASSERT_EQUAL(200U, next->result_int());
                    });
        }
    }

    void answers_reach_only_their_request()
    {
        platform_site site;
        auto& server = site.add_backend("desk", "desk-1");
        site.add_route("/orders/", "non_idempotent", "desk");
        site.publish();
        auto& gateway = site.start_gateway();
        test_caller caller(gateway.callers());
        section("an answer to another request is skipped",
                [&]
                {
                    server.add_faults({backend_fault::foreign_answer});
                    const auto answer =
                        caller.ask(site.request("/orders/x", "r1"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(answer_body("desk-1", "r1"),
                                         answer->body());
                });
        section("a second answer belongs to nobody",
                [&]
                {
                    server.add_faults({backend_fault::extra_answer});
                    caller.ask(site.request("/orders/x", "r2"));
                    for (int i = 0; i < 3; ++i)
                    {
                        const std::string id = "after-" + std::to_string(i);
                        const auto answer =
                            caller.ask(site.request("/orders/x", id));
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(answer_body("desk-1", id),
                                             answer->body());
                    }
                });
    }

    void incomplete_answers_are_not_delivered()
    {
        platform_site site;
        auto& server = site.add_backend("desk", "desk-1");
        site.add_route("/orders/", "non_idempotent", "desk");
        site.publish();
        auto& gateway = site.start_gateway();
        const auto ask = [&](const std::string& id, backend_fault fault)
        {
            server.add_faults({fault});
            test_caller caller(gateway.callers());
            const auto answer = caller.ask(site.request("/orders/x", id));
            CPPUNIT_ASSERT(answer);
            return answer->result_int();
        };
        section(
            "an answer that ends with its connection is whole", [&]
            { CPPUNIT_ASSERT_EQUAL(200U, ask("u", backend_fault::unframed)); });
        section("one that is reset is not",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(
                        502U, ask("ur", backend_fault::unframed_reset));
                });
        section("one shorter than its length is not",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(502U,
                                         ask("t", backend_fault::truncated));
                });
        section("a success without a signature is not",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(
                        502U, ask("s", backend_fault::unsigned_success));
                });
    }

    void unreachable_servers_are_passed_over()
    {
        platform_site site;
        site.add_backend("desk", "desk-1");
        auto& gone = site.add_backend("desk", "desk-2");
        site.add_route("/orders/", "non_idempotent", "desk");
        site.publish();
        auto& gateway = site.start_gateway();
        gone.server().set_deaf(true);
        for (int i = 0; i < 8; ++i)
        {
            test_caller caller(gateway.callers());
            const auto answer =
                caller.ask(site.request("/orders/x", "r" + std::to_string(i)));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT(answer->result_int() == 200 ||
                           answer->result_int() == 502);
            CPPUNIT_ASSERT(gone.runs("r" + std::to_string(i)) == 0);
        }
    }

private:
    static std::size_t count(const backend_standin& server,
                             const std::string& id)
    {
        const auto seen = server.seen();
        return static_cast<std::size_t>(
            std::count_if(seen.begin(), seen.end(),
                          [&id](const auto& row) { return row.id == id; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(delivery_test);

} // namespace mangolink::test
