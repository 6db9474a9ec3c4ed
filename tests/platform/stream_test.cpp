#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{
namespace
{

std::string events(unsigned first, unsigned last)
{
    std::string text;
    for (unsigned number = first; number <= last; ++number)
    {
        text += event_text(number);
    }
    return text;
}

/// Two engines of a route whose streams may be resumed.
struct resumable_streams final
{
    resumable_streams()
    {
        cluster.add_route("/talk/", "streaming", "engine")["streamResume"] =
            true;
        cluster.publish();
    }

    /// Lets the next stream of each break off: either may get it first.
    void break_next_streams(unsigned after_event, milliseconds interval)
    {
        for (auto* engine : {&one, &two})
        {
            engine->clear_faults();
            engine->set_stream(5, interval);
            engine->break_next_stream_after(after_event);
        }
    }

    std::size_t run_count(const std::string& id) const
    {
        return one.run_count(id) + two.run_count(id);
    }

    test_cluster cluster;
    backend_standin& one = cluster.add_backend("engine", "engine-1");
    backend_standin& two = cluster.add_backend("engine", "engine-2");
};

} // namespace

/// Event streams that are complete, resumed or visibly incomplete.
class stream_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_test);
    CPPUNIT_TEST(events_are_passed_on);
    CPPUNIT_TEST(a_resumable_stream_goes_on_elsewhere);
    CPPUNIT_TEST(an_error_of_the_next_server_is_no_part_of_a_stream);
    CPPUNIT_TEST(other_streams_end_visibly_incomplete);
    CPPUNIT_TEST(requests_of_closed_callers_are_cancelled);
    CPPUNIT_TEST(the_time_limit_of_the_route_ends_a_stream);
    CPPUNIT_TEST(a_stream_without_framing_ends_with_its_connection);
    CPPUNIT_TEST(a_stream_without_framing_or_events_is_no_success);
    CPPUNIT_TEST(a_caller_without_chunks_sees_that_a_stream_was_cut);
    CPPUNIT_TEST_SUITE_END();

public:
    void events_are_passed_on()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        engine.set_stream(6, milliseconds(30));
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        section("a new stream starts at the first event",
                [&]
                {
                    const auto answer =
                        caller.send_request(cluster.request("/talk/x", "r1"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(events(1, 6), answer->body());
                    CPPUNIT_ASSERT((*answer)["X-Response-Seal"] ==
                                   "seal-engine-1");
                });
        section("a stream with Last-Event-Id continues after that event",
                [&]
                {
                    auto request = cluster.request("/talk/x", "r2");
                    request.set("Last-Event-Id", "4");
                    const auto answer = caller.send_request(request);
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(events(5, 6), answer->body());
                });
    }

    void a_resumable_stream_goes_on_elsewhere()
    {
        resumable_streams streams;
        auto& cluster = streams.cluster;
        auto& gateway = cluster.start_gateway();
        for (unsigned broken = 1; broken <= 4; ++broken)
        {
            streams.break_next_streams(broken, milliseconds(10));
            const std::string id = "r" + std::to_string(broken);
            section("connection lost after event " + std::to_string(broken),
                    [&]
                    {
                        test_caller caller(gateway.callers());
                        const auto answer =
                            caller.send_request(cluster.request("/talk/x", id));
                        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                             streams.run_count(id));
                        // The resumed stream breaks off after as many events.
                        const auto last = std::min(5U, 2 * broken);
                        if (2 * broken > 5)
                        {
                            CPPUNIT_ASSERT(answer);
                            CPPUNIT_ASSERT_EQUAL(events(1, 5), answer->body());
                        }
                        else
                        {
                            CPPUNIT_ASSERT(!answer);
                            CPPUNIT_ASSERT_EQUAL(events(1, last),
                                                 caller.partial_body());
                        }
                    });
        }
    }

    void an_error_of_the_next_server_is_no_part_of_a_stream()
    {
        resumable_streams streams;
        auto& cluster = streams.cluster;
        auto& gateway = cluster.start_gateway();
        const std::pair<const char*, backend_fault> kinds[] = {
            {"error with a length", backend_fault::failure},
            {"error without one", backend_fault::failure_unframed},
            {"refusal", backend_fault::shed},
            {"success that is no stream", backend_fault::extra_answer},
            {"the same without length", backend_fault::unframed},
            {"head cut short", backend_fault::cut_head},
            {"success without content", backend_fault::no_content}};
        for (const auto& [name, kind] : kinds)
        {
            const std::string id = "r" + std::to_string(static_cast<int>(kind));
            section(name,
                    [&, kind = kind]
                    {
                        streams.break_next_streams(2, milliseconds(80));
                        std::thread during_stream(
                            [&]
                            {
                                bench::wait_until(
                                    [&] { return streams.run_count(id) > 0; });
                                streams.one.add_faults({kind});
                                streams.two.add_faults({kind});
                            });
                        test_caller caller(gateway.callers());
                        const auto answer =
                            caller.send_request(cluster.request("/talk/x", id));
                        during_stream.join();
                        CPPUNIT_ASSERT(!answer);
                        CPPUNIT_ASSERT_EQUAL(events(1, 2),
                                             caller.partial_body());
                    });
        }
    }

    void other_streams_end_visibly_incomplete()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        cluster.add_backend("engine", "engine-2").set_stream(5, {});
        engine.set_stream(5, milliseconds(10));
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        cluster.unregister_server("engine-2");
        auto& gateway = cluster.start_gateway();
        engine.break_next_stream_after(2);
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r1"));
        section("the answer does not look complete",
                [&] { CPPUNIT_ASSERT(!answer); });
        section("only complete events were delivered", [&]
                { CPPUNIT_ASSERT_EQUAL(events(1, 2), caller.partial_body()); });
        section(
            "the request was not resent", [&]
            { CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.run_count("r1")); });
    }

    void requests_of_closed_callers_are_cancelled()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        cluster.add_route("/status/", "idempotent", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        engine.add_faults({backend_fault::hang});
        test_caller caller(gateway.callers());
        caller.send("GET /status/x HTTP/1.1\r\nHost: site.example\r\n"
                    "X-Attempt-Id: r1\r\nX-Key: " +
                    std::string(test_key) + "\r\n\r\n");
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return engine.run_count("r1") == 1; }));
        caller.close();
        section(
            "the connection to the server closes; the request is not resent",
            [&]
            {
                CPPUNIT_ASSERT(bench::wait_until(
                    [&] { return engine.server().abandoned() == 1; }));
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.received().size());
            });
    }

    void the_time_limit_of_the_route_ends_a_stream()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        engine.set_stream(100, milliseconds(100));
        cluster.add_route("/talk/", "streaming", "engine")["timeoutMs"] = 600;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r1"));
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(caller.partial_body().starts_with(events(1, 3)));
    }

    void a_stream_without_framing_ends_with_its_connection()
    {
        test_cluster cluster;
        std::vector<backend_standin*> engines;
        for (const char* id : {"engine-1", "engine-2", "engine-3"})
        {
            engines.push_back(&cluster.add_backend("engine", id));
            engines.back()->set_stream(5, milliseconds(10));
            engines.back()->set_unframed_streams();
        }
        auto& route = cluster.add_route("/talk/", "streaming", "engine");
        route["streamResume"] = true;
        route["maxAttempts"] = 3;
        cluster.add_route("/once/", "streaming", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        section("a whole one is complete",
                [&]
                {
                    const auto answer =
                        caller.send_request(cluster.request("/talk/x", "r1"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(events(1, 5), answer->body());
                });
        const auto break_after_two_events = [&]
        {
            for (auto* engine : engines)
            {
                engine->break_next_stream_after(2);
            }
        };
        section("one that ends inside an event goes on elsewhere",
                [&]
                {
                    break_after_two_events();
                    const auto answer =
                        caller.send_request(cluster.request("/talk/x", "r2"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(events(1, 5), answer->body());
                    for (const auto* engine : engines)
                    {
                        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                             engine->run_count("r2"));
                    }
                });
        section("or is visibly incomplete",
                [&]
                {
                    break_after_two_events();
                    test_caller other(gateway.callers());
                    CPPUNIT_ASSERT(
                        !other.send_request(cluster.request("/once/x", "r3")));
                    CPPUNIT_ASSERT_EQUAL(events(1, 2), other.partial_body());
                });
    }

    void a_stream_without_framing_or_events_is_no_success()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        engine.set_stream(5, milliseconds(10));
        engine.set_unframed_streams();
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        engine.break_next_stream_after_head();
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
    }

    void a_caller_without_chunks_sees_that_a_stream_was_cut()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        engine.set_stream(5, milliseconds(10));
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (const char* id : {"whole", "cut"})
        {
            const bool whole = std::string(id) == "whole";
            engine.break_next_stream_after(whole ? 0 : 2);
            auto request = cluster.request("/talk/x", id);
            request.version(10);
            test_caller caller(gateway.callers());
            const auto answer = caller.send_request(request);
            section(id,
                    [&] { CPPUNIT_ASSERT_EQUAL(whole, answer.has_value()); });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_test);

} // namespace mangolink::test
