#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{
namespace
{

/// Longer than the gap after which another server is sought.
constexpr milliseconds silence{2200};

/// That of a sound server.
constexpr milliseconds short_silence{1200};

} // namespace

/// Sound servers of requests that fall silent for a while and go on.
class silence_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silence_test);
    CPPUNIT_TEST(a_stream_is_not_cut_when_the_alternative_refuses_it);
    CPPUNIT_TEST(a_stream_is_not_cut_when_its_stages_are_refused);
    CPPUNIT_TEST(a_late_answer_is_delivered_when_the_alternative_refuses);
    CPPUNIT_TEST(a_server_that_stays_silent_is_replaced);
    CPPUNIT_TEST(a_refused_standby_leaves_its_connection_to_others);
    CPPUNIT_TEST(stages_are_not_repeated_when_nothing_can_be_sent);
    CPPUNIT_TEST(a_standby_without_stage_results_makes_them_again);
    CPPUNIT_TEST(a_silent_standby_is_replaced);
    CPPUNIT_TEST(a_stream_is_not_cut_when_the_standby_breaks_after_its_head);
    CPPUNIT_TEST(a_stream_is_not_cut_when_the_standby_ends_in_its_first_event);
    CPPUNIT_TEST(a_request_is_not_refused_by_its_only_servers_silence);
    CPPUNIT_TEST(a_request_is_refused_at_once_by_a_closed_port);
    CPPUNIT_TEST(a_late_refusal_does_not_end_the_standby);
    CPPUNIT_TEST(a_late_head_does_not_end_the_standby);
    CPPUNIT_TEST(a_late_copy_of_a_refusal_repeats_no_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_stream_is_not_cut_when_the_alternative_refuses_it()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        add_streaming_route(cluster);
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        engine.set_stream(4, milliseconds(1));
        engine.silence_next_stream(2, silence);
        // Its address belongs to another server by now, which answers 421.
        const backend_standin misaddressed("engine-9");
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return engine.run_count("r") > 0; });
                cluster.add_backend("engine", "engine-2");
                cluster.set_address("engine-2", misaddressed.address());
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r"));
        during_silence.join();
        section("the refusal arrived during the silence",
                [&] { CPPUNIT_ASSERT(!misaddressed.received().empty()); });
        section("the answer is complete", [&] { assert_events(answer, 4); });
    }

    void a_stream_is_not_cut_when_its_stages_are_refused()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("engine", "engine-1");
        auto& two = cluster.add_backend("engine", "engine-2");
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        auto& route = add_streaming_route(cluster);
        cluster.add_stage(route);
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* engine : {&one, &two})
        {
            engine->set_stream(4, milliseconds(1));
            engine->silence_next_stream(2, silence);
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return runs(one, two) > 0; });
                stage.fail_next(1000, "late");
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.staged_request("/talk/x", "r"));
        during_silence.join();
        section("the stages were asked for again",
                [&] { CPPUNIT_ASSERT(stage.received().size() > 2); });
        section("the answer is complete", [&] { assert_events(answer, 4); });
    }

    void a_late_answer_is_delivered_when_the_alternative_refuses()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("desk", "desk-1");
        auto& two = cluster.add_backend("desk", "desk-2");
        cluster.add_route("/status/", "idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* desk : {&one, &two})
        {
            desk->set_delay(silence);
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return runs(one, two) > 0; });
                for (auto* desk : {&one, &two})
                {
                    desk->set_delay({});
                    desk->add_faults({backend_fault::shed});
                }
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/status/x", "r"));
        during_silence.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    }

    void a_server_that_stays_silent_is_replaced()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("engine", "engine-1");
        auto& two = cluster.add_backend("engine", "engine-2");
        add_streaming_route(cluster);
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* engine : {&one, &two})
        {
            engine->set_stream(4, milliseconds(1));
            engine->silence_next_stream(2, milliseconds(20'000));
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return runs(one, two) > 0; });
                one.silence_next_stream(0, {});
                two.silence_next_stream(0, {});
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r"));
        during_silence.join();
        section("another server completes the answer",
                [&] { assert_events(answer, 4); });
        section("each server ran it once",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), one.run_count("r"));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), two.run_count("r"));
                });
    }

    void a_refused_standby_leaves_its_connection_to_others()
    {
        test_cluster cluster;
        auto& silent = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/status/", "idempotent", "desk");
        cluster.add_route("/orders/", "non_idempotent", "orders");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        silent.set_delay(silence);
        std::optional<text_response> order;
        backend_standin* other = nullptr;
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return silent.run_count("r") > 0; });
                // Serves both routes under one id and one connection pool.
                other = &cluster.add_backend("desk", "desk-2");
                other->add_faults({backend_fault::shed});
                bench::wait_until([&] { return !other->received().empty(); });
                other->set_delay(milliseconds(1500));
                cluster.set_service("desk-2", "orders");
                test_caller second(gateway.callers());
                bench::wait_until(
                    [&]
                    {
                        order = second.send_request(
                            cluster.request("/orders/x", "o"));
                        return !order || order->result_int() != 503;
                    });
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/status/x", "r"));
        during_silence.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        section("a request of another caller on it is answered",
                [&]
                {
                    CPPUNIT_ASSERT(order);
                    CPPUNIT_ASSERT_EQUAL(200U, order->result_int());
                });
    }

    void stages_are_not_repeated_when_nothing_can_be_sent()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("engine", "engine-1");
        auto& two = cluster.add_backend("engine", "engine-2");
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        cluster.add_stage(add_streaming_route(cluster));
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* engine : {&one, &two})
        {
            engine->set_stream(4, milliseconds(1));
            engine->silence_next_stream(2, milliseconds(3300));
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return runs(one, two) > 0; });
                auto& other = one.run_count("r") > 0 ? two : one;
                other.add_faults({backend_fault::shed});
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.staged_request("/talk/x", "r"));
        during_silence.join();
        assert_events(answer, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2 * 2), stage.received().size());
    }

    void a_standby_without_stage_results_makes_them_again()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("engine", "engine-1");
        auto& two = cluster.add_backend("engine", "engine-2");
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        cluster.add_stage(add_streaming_route(cluster));
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* engine : {&one, &two})
        {
            engine->set_stream(4, milliseconds(1));
            engine->add_faults({backend_fault::hang});
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return runs(one, two) > 0; });
                auto& other = one.run_count("r") > 0 ? two : one;
                other.clear_faults();
                other.add_faults({backend_fault::inputs_gone});
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.staged_request("/talk/x", "r"));
        during_silence.join();
        assert_events(answer, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2 * 2), stage.received().size());
    }

    void a_silent_standby_is_replaced()
    {
        test_cluster cluster;
        std::vector<backend_standin*> engines;
        for (const char* id : {"engine-1", "engine-2", "engine-3"})
        {
            engines.push_back(&cluster.add_backend("engine", id));
        }
        add_streaming_route(cluster)["maxAttempts"] = 3;
        cluster.configuration()["routes"][0]["timeoutMs"] = 9000;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* engine : engines)
        {
            engine->set_stream(4, milliseconds(1));
            engine->add_faults({backend_fault::hang});
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until(
                    [&]
                    {
                        return engines[0]->run_count("r") +
                                   engines[1]->run_count("r") +
                                   engines[2]->run_count("r") ==
                               2;
                    });
                for (auto* engine : engines)
                {
                    engine->clear_faults();
                }
            });
        test_caller caller(gateway.callers());
        const auto answer = caller.send_request(
            cluster.request("/talk/x", "r", milliseconds(9000)));
        during_silence.join();
        assert_events(answer, 4);
    }

    void a_stream_is_not_cut_when_the_standby_breaks_after_its_head()
    {
        expect_whole_stream_despite(
            [](backend_standin& other)
            {
                other.set_stream(4, milliseconds(1));
                other.break_next_stream_after_head();
            });
    }

    /// Guards against a stream that is given up for a standby attempt whose
    /// body has ended regularly without a complete event.
    void a_stream_is_not_cut_when_the_standby_ends_in_its_first_event()
    {
        expect_whole_stream_despite(
            [](backend_standin& other)
            { other.add_faults({backend_fault::event_ended}); });
    }

    void a_request_is_not_refused_by_its_only_servers_silence()
    {
        test_cluster cluster;
        auto& desk = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        desk.server().fall_silent(short_silence);
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/orders/x", "r"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), desk.run_count("r"));
    }

    void a_request_is_refused_at_once_by_a_closed_port()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.set_address("desk-1", "127.0.0.1:1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        const auto begin = boot_clock::now();
        const auto answer =
            caller.send_request(cluster.request("/orders/x", "r"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
        CPPUNIT_ASSERT(boot_clock::now() - begin < milliseconds(300));
    }

    void a_late_refusal_does_not_end_the_standby()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("desk", "desk-1");
        auto& two = cluster.add_backend("desk", "desk-2");
        cluster.add_route("/status/", "idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* desk : {&one, &two})
        {
            desk->set_delay(silence);
            desk->add_faults({backend_fault::shed});
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until(
                    [&] {
                        return !one.received().empty() ||
                               !two.received().empty();
                    });
                auto& other = one.received().empty() ? one : two;
                other.clear_faults();
                other.set_delay(milliseconds(1200));
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/status/x", "r"));
        during_silence.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    }

    void a_late_head_does_not_end_the_standby()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("engine", "engine-1");
        auto& two = cluster.add_backend("engine", "engine-2");
        add_streaming_route(cluster);
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        for (auto* engine : {&one, &two})
        {
            engine->set_stream(4, milliseconds(1));
            engine->set_delay(silence);
            engine->break_next_stream_after_head();
        }
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return runs(one, two) > 0; });
                auto& other = one.run_count("r") > 0 ? two : one;
                other.set_delay(milliseconds(1000));
                other.clear_faults();
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r"));
        during_silence.join();
        assert_events(answer, 4);
    }

    void a_late_copy_of_a_refusal_repeats_no_run()
    {
        test_cluster cluster;
        auto& desk = cluster.add_backend("desk", "desk-1");
        cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        cluster.add_stage(
            cluster.add_route("/orders/", "non_idempotent", "desk"));
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        desk.add_faults({backend_fault::inputs_gone_copy});
        std::thread before_copy(
            [&]
            {
                bench::wait_until([&] { return !desk.received().empty(); });
                desk.set_delay(milliseconds(1000));
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.staged_request("/orders/x", "r"));
        before_copy.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), desk.run_count("r"));
    }

private:
    using json = nlohmann::json;

    static json& add_streaming_route(test_cluster& cluster)
    {
        auto& route = cluster.add_route("/talk/", "streaming", "engine");
        route["streamResume"] = true;
        route["targetGapMs"] = 300;
        return route;
    }

    /// Expects that a stream goes on after a silence during which a standby
    /// server is added, which `prepare` makes fail.
    template <class Prepare>
    static void expect_whole_stream_despite(Prepare prepare)
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        add_streaming_route(cluster);
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        engine.set_stream(4, milliseconds(1));
        engine.silence_next_stream(2, silence);
        std::thread during_silence(
            [&]
            {
                bench::wait_until([&] { return engine.run_count("r") > 0; });
                prepare(cluster.add_backend("engine", "engine-2"));
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r"));
        during_silence.join();
        assert_events(answer, 4);
    }

    static std::size_t runs(const backend_standin& one,
                            const backend_standin& two)
    {
        return one.run_count("r") + two.run_count("r");
    }

    static void assert_events(const std::optional<text_response>& answer,
                              unsigned last)
    {
        std::string text;
        for (unsigned number = 1; number <= last; ++number)
        {
            text += event_text(number);
        }
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(text, answer->body());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silence_test);

} // namespace mangolink::test
