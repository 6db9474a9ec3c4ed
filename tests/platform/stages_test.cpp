#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <csignal>
#include <set>
#include <thread>

namespace mangolink::test
{

/// Stages before a generation, with the gateways that own their servers.
class stages_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stages_test);
    CPPUNIT_TEST(items_get_the_results_they_need);
    CPPUNIT_TEST(items_of_many_requests_share_calls);
    CPPUNIT_TEST(failed_items_are_retried);
    CPPUNIT_TEST(a_full_server_is_queried_for_memory);
    CPPUNIT_TEST(a_request_cut_in_its_first_event_keeps_its_inputs);
    CPPUNIT_TEST(a_resumed_stream_is_not_cut_behind_full_batches);
    CPPUNIT_TEST(a_server_that_no_longer_leaves_costs_no_pool);
    CPPUNIT_TEST(a_process_that_dies_is_replaced);
    CPPUNIT_TEST(a_paused_process_is_replaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void items_get_the_results_they_need()
    {
        test_cluster cluster;
        auto& engine = prepare(cluster);
        auto& first =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        auto& second =
            cluster.add_stage_server("rerank", "rerank-1", milliseconds(20));
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        const auto answer = caller.send_request(staged(cluster, "r1", "2,3"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        section("the first stage gets the chunk key of the request",
                [&]
                {
                    const auto received = first.received();
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2), received.size());
                    CPPUNIT_ASSERT_EQUAL(std::string("key-r1"),
                                         received[0].key);
                    CPPUNIT_ASSERT(received[0].inputs.empty());
                });
        section("each item of the second stage gets both results of the first",
                [&]
                {
                    const auto received = second.received();
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3), received.size());
                    for (const auto& item : received)
                    {
                        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                             item.inputs.size());
                        CPPUNIT_ASSERT(item.inputs[0] != item.inputs[1]);
                        CPPUNIT_ASSERT(item.inputs[0].ends_with("-r1"));
                    }
                });
        section("the engine gets the results of the last stage",
                [&]
                {
                    auto headers = engine.received()[0].headers;
                    const auto inputs = headers["x-input-count"];
                    CPPUNIT_ASSERT_EQUAL(
                        std::ptrdiff_t(2),
                        std::count(inputs.begin(), inputs.end(), ','));
                });
        section("no result stays stored",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return first.stored_results() +
                                       second.stored_results() ==
                                   0;
                        }));
                });
        section("a stage without items is skipped",
                [&]
                {
                    const auto next =
                        caller.send_request(staged(cluster, "r2", "0,0"));
                    CPPUNIT_ASSERT(next);
                    CPPUNIT_ASSERT_EQUAL(200U, next->result_int());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         first.received().size());
                });
    }

    void items_of_many_requests_share_calls()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& first =
            cluster.add_stage_server("encode", "encode-1", milliseconds(150));
        cluster.add_stage_server("rerank", "rerank-1", milliseconds(20));
        cluster.start_gateway();
        cluster.start_gateway();
        wait_for_peers(cluster, 2);
        send_requests(cluster, 12);
        section(
            "one gateway makes the calls, one at a time and with full batches",
            [&]
            {
                // Twelve items, up to eight per call. The first call holds
                // the items that arrived before it, the others those that
                // arrived meanwhile.
                CPPUNIT_ASSERT(first.calls().size() <= 5);
                CPPUNIT_ASSERT_EQUAL(std::size_t(12), first.received().size());
            });
    }

    void failed_items_are_retried()
    {
        test_cluster cluster;
        auto& engine = prepare(cluster);
        auto& first =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        auto& other =
            cluster.add_stage_server("encode", "encode-2", milliseconds(20));
        auto& second =
            cluster.add_stage_server("rerank", "rerank-1", milliseconds(20));
        auto& gateway = cluster.start_gateway();
        int number = 0;
        const auto send_request = [&]
        {
            const std::string id = "r" + std::to_string(++number);
            test_caller caller(gateway.callers());
            const auto answer = caller.send_request(staged(cluster, id, "2,3"));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.run_count(id));
        };
        section("items that fail for lack of memory or with an error",
                [&]
                {
                    first.fail_next(1, "room");
                    other.fail_next(1, "error");
                    second.fail_next(2, "error");
                    send_request();
                });
        section("earlier stages run again when their results are gone",
                [&]
                {
                    second.fail_next(1, "gone");
                    send_request();
                });
        section("a server that refuses the call",
                [&]
                {
                    first.shed_next(1);
                    other.shed_next(1);
                    second.shed_next(1);
                    send_request();
                });
        section("a server that does not answer",
                [&]
                {
                    first.hang_next(1);
                    send_request();
                    send_request();
                });
    }

    void a_full_server_is_queried_for_memory()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& first =
            cluster.add_stage_server("encode", "encode-1", milliseconds(10));
        cluster.add_stage_server("rerank", "rerank-1", milliseconds(10));
        auto& gateway = cluster.start_gateway();
        first.set_full(true);
        std::thread later(
            [&]
            {
                std::this_thread::sleep_for(milliseconds(800));
                first.set_full(false);
            });
        test_caller caller(gateway.callers());
        const auto answer = caller.send_request(staged(cluster, "r1", "1,1"));
        later.join();
        section("the request is served once memory is free",
                [&]
                {
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                });
        section("its item was not resent at a high rate meanwhile",
                [&]
                {
                    // Without a delay it would be resent every 10 ms.
                    CPPUNIT_ASSERT(first.calls().size() <= 20);
                });
    }

    /// Guards against a request that is sent to the next engine without the
    /// results of its stages, as the first bytes of an event had come.
    void a_request_cut_in_its_first_event_keeps_its_inputs()
    {
        test_cluster cluster;
        auto& one = prepare(cluster);
        auto& route = cluster.configuration()["routes"][0];
        route["streamResume"] = true;
        route["targetGapMs"] = 300;
        cluster.publish();
        auto& two = cluster.add_backend("engine", "engine-2");
        two.set_stream(2, milliseconds(1));
        auto& first =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        auto& second =
            cluster.add_stage_server("rerank", "rerank-1", milliseconds(20));
        auto& gateway = cluster.start_gateway();
        const std::pair<const char*, backend_fault> ends[] = {
            {"closed", backend_fault::event_closed},
            {"reset", backend_fault::event_reset},
            {"regular end of the body", backend_fault::event_ended},
            {"silent", backend_fault::event_silent}};
        for (const auto& [name, fault] : ends)
        {
            section(name,
                    [&, fault = fault]
                    {
                        const std::string id =
                            "r" + std::to_string(static_cast<int>(fault));
                        one.add_faults({fault});
                        two.add_faults({fault});
                        std::thread after_first_send(
                            [&]
                            {
                                bench::wait_until(
                                    [&] {
                                        return one.run_count(id) +
                                                   two.run_count(id) >
                                               0;
                                    });
                                one.clear_faults();
                                two.clear_faults();
                            });
                        test_caller caller(gateway.callers());
                        const auto answer =
                            caller.send_request(staged(cluster, id, "2,3"));
                        after_first_send.join();
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                        std::vector<std::size_t> inputs;
                        for (const auto* engine : {&one, &two})
                        {
                            for (const auto& request : engine->received())
                            {
                                if (request.id == id)
                                {
                                    inputs.push_back(input_count(request));
                                }
                            }
                        }
                        CPPUNIT_ASSERT(inputs ==
                                       std::vector<std::size_t>(2, 3));
                    });
        }
        section("no item was executed twice, and no result stays stored",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(4 * std::size_t(2),
                                         first.received().size());
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return first.stored_results() +
                                       second.stored_results() ==
                                   0;
                        }));
                });
    }

    void a_resumed_stream_is_not_cut_behind_full_batches()
    {
        test_cluster cluster;
        auto& engine = prepare(cluster);
        engine.set_stream(4, milliseconds(1100));
        engine.break_next_stream_after(2);
        auto& route = cluster.configuration()["routes"][0];
        route["streamResume"] = true;
        route["timeoutMs"] = 12'000;
        cluster.publish();
        auto& next = cluster.add_backend("engine", "engine-9");
        next.set_stream(4, milliseconds(1100));
        next.break_next_stream_after(2);
        cluster.add_stage_server("encode", "encode-1", milliseconds(200));
        cluster.add_stage_server("rerank", "rerank-1", milliseconds(20));
        auto& gateway = cluster.start_gateway();
        std::vector<std::thread> others;
        std::thread load(
            [&]
            {
                // The stream breaks off about 2.5 s after its request came.
                std::this_thread::sleep_for(milliseconds(2350));
                for (int i = 0; i < 5; ++i)
                {
                    others.emplace_back(
                        [&, i]
                        {
                            test_caller caller(gateway.callers());
                            caller.send_request(staged(
                                cluster, "o" + std::to_string(i), "16,1"));
                        });
                }
            });
        test_caller caller(gateway.callers());
        auto request = staged(cluster, "r", "2,2");
        request.set("X-Deadline-Ms", "12000");
        const auto answer = caller.send_request(request);
        load.join();
        for (auto& other : others)
        {
            other.join();
        }
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(event_text(1) + event_text(2) + event_text(3) +
                                 event_text(4),
                             answer->body());
    }

    /// Guards against requests refused though stage servers are idle, after the
    /// entry of one said that it leaves and then no longer.
    void a_server_that_no_longer_leaves_costs_no_pool()
    {
        constexpr milliseconds call_time{150};
        test_cluster cluster;
        prepare(cluster);
        auto& leaving =
            cluster.add_stage_server("encode", "encode-1", call_time);
        cluster.add_stage_server("encode", "encode-2", call_time);
        cluster.add_stage_server("rerank", "rerank-1", milliseconds(20));
        auto& gateway = cluster.start_gateway();
        std::size_t served = 0;
        std::thread before([&] { served = send_requests(cluster, 8, 1); });
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return !leaving.received().empty(); }));
        cluster.register_server("encode-1", "draining");
        CPPUNIT_ASSERT(bench::wait_until(
            [&] {
                return gateway.log_text().find("leaving") != std::string::npos;
            }));
        cluster.register_server("encode-1", "ready");
        before.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), served);
        std::this_thread::sleep_for(call_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), send_requests(cluster, 8, 1));
    }

    void a_process_that_dies_is_replaced()
    {
        replace_with([](bench::child_process& process)
                     { process.signal(SIGKILL); });
    }

    void a_paused_process_is_replaced()
    {
        replace_with([](bench::child_process& process)
                     { process.signal(SIGSTOP); });
    }

private:
    static backend_standin& prepare(test_cluster& cluster)
    {
        auto& engine = cluster.add_backend("engine", "engine-1");
        engine.set_stream(2, milliseconds(1));
        auto& route = cluster.add_route("/talk/", "streaming", "engine");
        route["targetLatencyMs"] = 2000;
        route["phases"] = {
            {{"service", "encode"},
             {"after", nlohmann::json::array()},
             {"length", 1000}},
            {{"service", "rerank"}, {"after", {0}}, {"length", 1000}}};
        for (const char* name : {"encode", "rerank"})
        {
            cluster.add_stage_pool(name);
        }
        cluster.publish();
        return engine;
    }

    static std::size_t input_count(const received_request& request)
    {
        const auto inputs = request.headers.find("x-input-count");
        return inputs == request.headers.end()
                   ? 0
                   : 1 + static_cast<std::size_t>(
                             std::count(inputs->second.begin(),
                                        inputs->second.end(), ','));
    }

    static text_request staged(test_cluster& cluster, const std::string& id,
                               const std::string& items)
    {
        auto request = cluster.request("/talk/x", id);
        request.set("X-Chunk-Count", items);
        request.set("X-Chunk-Key", "key-" + id);
        return request;
    }

    static void wait_for_peers(test_cluster& cluster, std::size_t processes)
    {
        for (std::size_t i = 0; i < processes; ++i)
        {
            const std::string wanted =
                "\"peers\": " + std::to_string(processes - 1);
            CPPUNIT_ASSERT(bench::wait_until(
                [&]
                {
                    return cluster.gateway(i)
                               .fetch_operator_page("/status")
                               .find(wanted) != std::string::npos;
                }));
        }
    }

    /// Sends requests in parallel through the first `gateways` gateways;
    /// returns how many were served.
    static std::size_t send_requests(test_cluster& cluster, unsigned requests,
                                     std::size_t gateways = 2)
    {
        std::atomic<std::size_t> served{0};
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < requests; ++i)
        {
            threads.emplace_back(
                [&cluster, &served, i, gateways]
                {
                    const std::string id = "many-" + std::to_string(i);
                    test_caller caller(cluster.gateway(i % gateways).callers());
                    const auto answer =
                        caller.send_request(staged(cluster, id, "1,1"));
                    served += answer && answer->result_int() == 200 ? 1 : 0;
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        return served;
    }

    /// Applies a fault to the second of two gateways while it has tasks of the
    /// first.
    template <class Fault>
    static void replace_with(Fault fault)
    {
        test_cluster cluster;
        prepare(cluster);
        // With this many servers each gateway owns some.
        for (int i = 0; i < 6; ++i)
        {
            const std::string number = std::to_string(i);
            cluster.add_stage_server("encode", "encode-" + number,
                                     milliseconds(100));
            cluster.add_stage_server("rerank", "rerank-" + number,
                                     milliseconds(100));
        }
        cluster.start_gateway();
        cluster.start_gateway();
        wait_for_peers(cluster, 2);
        std::thread later(
            [&]
            {
                std::this_thread::sleep_for(milliseconds(50));
                fault(cluster.gateway(1).process());
            });
        const auto served = send_requests(cluster, 12, 1);
        later.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), served);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stages_test);

} // namespace mangolink::test
