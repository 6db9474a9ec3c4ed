#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace mangolink::test
{

/// Stop, restart and signal handling of gateway processes.
class stop_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stop_test);
    CPPUNIT_TEST(a_stop_cuts_no_request);
    CPPUNIT_TEST(a_connection_kept_open_across_a_stop_is_answered);
    CPPUNIT_TEST(late_requests_are_refused_not_cut_off);
    CPPUNIT_TEST(connections_waiting_for_acceptance_are_not_reset_by_a_stop);
    CPPUNIT_TEST(open_requests_are_answered_at_the_stop_limit);
    CPPUNIT_TEST(a_late_wake_up_leaves_time_for_last_answers);
    CPPUNIT_TEST(a_kept_connection_is_read_before_the_end);
    CPPUNIT_TEST(a_connecting_request_is_answered_at_the_stop_limit);
    CPPUNIT_TEST(reload_keeps_serving);
    CPPUNIT_TEST(a_reload_during_the_start_ends_no_process);
    CPPUNIT_TEST(all_killed_at_once_serve_again);
    CPPUNIT_TEST(invalid_settings_are_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_stop_cuts_no_request()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        auto& gateway = cluster.start_gateway();
        test_caller persistent(gateway.callers());
        CPPUNIT_ASSERT(
            persistent.send_request(cluster.request("/orders/x", "first")));
        server.set_delay(milliseconds(1000));
        std::optional<text_response> slow;
        std::thread during(
            [&]
            {
                test_caller caller(gateway.callers());
                slow =
                    caller.send_request(cluster.request("/orders/x", "slow"));
            });
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return server.run_count("slow") == 1; }));
        gateway.process().signal(SIGTERM);
        section("the gateway reports not ready",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return !gateway.ready(); }, milliseconds(2000)));
                });
        section("a persistent connection is served and then closed",
                [&]
                {
                    const auto answer = persistent.send_request(
                        cluster.request("/orders/x", "kept"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                    CPPUNIT_ASSERT(!answer->keep_alive());
                });
        during.join();
        section("the request in flight is answered",
                [&]
                {
                    CPPUNIT_ASSERT(slow);
                    CPPUNIT_ASSERT_EQUAL(200U, slow->result_int());
                });
        section("the process exits by itself",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(
                        0, gateway.process().wait(milliseconds(30'000)));
                });
    }

    void a_connection_kept_open_across_a_stop_is_answered()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("engine", "engine-1");
        engine.set_stream(4, milliseconds(200));
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        std::thread during_stream(
            [&]
            {
                bench::wait_until([&] { return engine.run_count("r1") == 1; });
                std::this_thread::sleep_for(milliseconds(300));
                gateway.process().signal(SIGTERM);
            });
        test_caller caller(gateway.callers());
        const auto stream =
            caller.send_request(cluster.request("/talk/x", "r1"));
        during_stream.join();
        section("the stream began before the stop, with a promise to go on",
                [&]
                {
                    CPPUNIT_ASSERT(stream);
                    CPPUNIT_ASSERT(stream->keep_alive());
                });
        section("the next request on the connection is answered",
                [&]
                {
                    const auto next =
                        caller.send_request(cluster.request("/talk/x", "r2"));
                    CPPUNIT_ASSERT(next);
                    CPPUNIT_ASSERT_EQUAL(200U, next->result_int());
                    CPPUNIT_ASSERT(!next->keep_alive());
                });
    }

    void late_requests_are_refused_not_cut_off()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        auto& gateway = cluster.start_gateway();
        server.set_delay(milliseconds(900));
        std::vector<std::unique_ptr<test_caller>> persistent;
        constexpr int callers = 12;
        persistent.reserve(callers);
        for (int i = 0; i < callers; ++i)
        {
            persistent.push_back(
                std::make_unique<test_caller>(gateway.callers()));
        }
        gateway.process().signal(SIGTERM);
        // One request every 300 ms, until well after the stop began.
        std::vector<std::thread> threads;
        threads.reserve(callers);
        std::atomic<int> served{0};
        std::atomic<int> refused{0};
        std::atomic<int> unread{0};
        for (int i = 0; i < callers; ++i)
        {
            threads.emplace_back(
                [&, i]
                {
                    std::this_thread::sleep_for(milliseconds(300) * i);
                    const std::string id = "r" + std::to_string(i);
                    const auto answer =
                        persistent[static_cast<std::size_t>(i)]->send_request(
                            cluster.request("/orders/x", id));
                    const unsigned status = answer ? answer->result_int() : 0;
                    served += status == 200 ? 1 : 0;
                    refused += status == 503 ? 1 : 0;
                    // The connection closed before the request was read.
                    unread += status == 0 && server.run_count(id) == 0 ? 1 : 0;
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        CPPUNIT_ASSERT(served > 0);
        CPPUNIT_ASSERT_EQUAL(callers, served + refused + unread);
    }

    void connections_waiting_for_acceptance_are_not_reset_by_a_stop()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        gateway.process().signal(SIGTERM);
        // The process sleeps while it should close its listening socket.
        std::this_thread::sleep_for(milliseconds(2400));
        gateway.process().signal(SIGSTOP);
        std::vector<std::unique_ptr<test_caller>> callers;
        std::vector<std::optional<text_response>> answers;
        constexpr int count = 6;
        callers.reserve(count);
        answers.reserve(count);
        for (int i = 0; i < count; ++i)
        {
            callers.push_back(std::make_unique<test_caller>(gateway.callers()));
        }
        std::this_thread::sleep_for(milliseconds(400));
        gateway.process().signal(SIGCONT);
        for (auto& caller : callers)
        {
            answers.push_back(
                caller->send_request(cluster.request("/orders/x", "waiting")));
        }
        for (const auto& answer : answers)
        {
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
        }
    }

    void open_requests_are_answered_at_the_stop_limit()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.add_stage(cluster.add_route("/staged/", "idempotent", "desk"));
        for (auto& route : cluster.configuration()["routes"])
        {
            route["timeoutMs"] = 9000;
        }
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        server.add_faults({backend_fault::hang});
        stage.hang_next(100);
        std::optional<text_response> sent;
        std::optional<text_response> unsent;
        std::thread order(
            [&]
            {
                test_caller caller(gateway.callers());
                sent = caller.send_request(
                    cluster.request("/orders/x", "sent", milliseconds(9000)));
            });
        std::thread staged(
            [&]
            {
                test_caller caller(gateway.callers());
                unsent = caller.send_request(cluster.staged_request(
                    "/staged/x", "unsent", "2", milliseconds(9000)));
            });
        bench::wait_until(
            [&] { return server.run_count("sent") + stage.hung() > 1; });
        gateway.process().signal(SIGTERM);
        order.join();
        staged.join();
        section("one that may have run has failed",
                [&]
                {
                    CPPUNIT_ASSERT(sent);
                    CPPUNIT_ASSERT_EQUAL(502U, sent->result_int());
                });
        section("one that has not run is refused",
                [&]
                {
                    CPPUNIT_ASSERT(unsent);
                    CPPUNIT_ASSERT_EQUAL(503U, unsent->result_int());
                });
        section(
            "the log tells the reason for both",
            [&]
            {
                gateway.process().wait(milliseconds(10'000));
                const auto log = gateway.log_text();
                for (const std::string id : {"sent", "unsent"})
                {
                    const auto line =
                        log.substr(log.find("Ended. id=\"" + id + "\""));
                    CPPUNIT_ASSERT(
                        line.substr(0, line.find('\n')).find("stop limit") !=
                        std::string::npos);
                }
            });
    }

    void a_late_wake_up_leaves_time_for_last_answers()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk")["timeoutMs"] =
            9000;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        server.add_faults({backend_fault::hang});
        std::optional<text_response> answer;
        std::thread order(
            [&]
            {
                test_caller caller(gateway.callers());
                answer = caller.send_request(
                    cluster.request("/orders/x", "sent", milliseconds(9000)));
            });
        bench::wait_until([&] { return server.run_count("sent") > 0; });
        gateway.process().signal(SIGTERM);
        pause_between(gateway, milliseconds(3620), milliseconds(3880));
        order.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
    }

    void a_kept_connection_is_read_before_the_end()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        constexpr std::size_t count = 6;
        std::vector<std::unique_ptr<test_caller>> callers;
        callers.reserve(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            callers.push_back(std::make_unique<test_caller>(gateway.callers()));
            CPPUNIT_ASSERT(callers.back()->send_request(
                cluster.request("/orders/x", "first" + std::to_string(i))));
        }
        gateway.process().signal(SIGTERM);
        std::vector<std::optional<text_response>> answers(count);
        std::vector<std::thread> late;
        late.reserve(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            late.emplace_back(
                [&, i]
                {
                    std::this_thread::sleep_for(milliseconds(3000));
                    answers[i] = callers[i]->send_request(cluster.request(
                        "/orders/x", "late" + std::to_string(i)));
                });
        }
        pause_between(gateway, milliseconds(2800), milliseconds(3200));
        for (auto& thread : late)
        {
            thread.join();
        }
        for (const auto& answer : answers)
        {
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
        }
    }

    void a_connecting_request_is_answered_at_the_stop_limit()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk")["timeoutMs"] =
            9000;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        server.server().fall_silent(milliseconds(6000));
        gateway.process().signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(2100));
        test_caller caller(gateway.callers());
        const auto answer = caller.send_request(
            cluster.request("/orders/x", "unsent", milliseconds(9000)));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    }

    void reload_keeps_serving()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        gateway.process().signal(SIGHUP);
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                return gateway.log_text().find("Settings read again") !=
                       std::string::npos;
            }));
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/orders/x", "r1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    }

    void a_reload_during_the_start_ends_no_process()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        gateway.process().signal(SIGKILL);
        gateway.process().wait(milliseconds(10'000));
        // The process reads its settings until the writer closes the pipe.
        const std::string& path = gateway.settings_path();
        const std::string kept = path + ".kept";
        std::filesystem::rename(path, kept);
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(path.c_str(), 0600));
        gateway.start();
        std::ofstream settings(path);
        gateway.process().signal(SIGHUP);
        section("the process survives the signal",
                [&]
                {
                    std::this_thread::sleep_for(milliseconds(200));
                    CPPUNIT_ASSERT(gateway.process().running());
                });
        settings << std::ifstream(kept).rdbuf();
        std::filesystem::rename(kept, path);
        settings.close();
        section("it serves, and reads its settings again",
                [&]
                {
                    CPPUNIT_ASSERT(
                        bench::wait_until([&] { return gateway.ready(); }));
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            return gateway.log_text().find(
                                       "Settings read again") !=
                                   std::string::npos;
                        }));
                });
    }

    void all_killed_at_once_serve_again()
    {
        test_cluster cluster;
        prepare(cluster);
        constexpr std::size_t count = 3;
        for (std::size_t i = 0; i < count; ++i)
        {
            cluster.start_gateway();
        }
        for (std::size_t i = 0; i < count; ++i)
        {
            cluster.gateway(i).process().signal(SIGKILL);
        }
        for (std::size_t i = 0; i < count; ++i)
        {
            cluster.gateway(i).process().wait(milliseconds(10'000));
            cluster.gateway(i).start();
        }
        for (std::size_t i = 0; i < count; ++i)
        {
            CPPUNIT_ASSERT(
                bench::wait_until([&] { return cluster.gateway(i).ready(); }));
            test_caller caller(cluster.gateway(i).callers());
            const auto answer = caller.send_request(
                cluster.request("/orders/x", "r" + std::to_string(i)));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        }
    }

    void invalid_settings_are_reported()
    {
        test_cluster cluster;
        prepare(cluster);
        bool started = true;
        try
        {
            cluster.start_gateway("[surprise]\nkey = 1\n");
        }
        catch (const std::runtime_error& error)
        {
            started = false;
            CPPUNIT_ASSERT(std::string(error.what()).find("surprise.key") !=
                           std::string::npos);
        }
        CPPUNIT_ASSERT(!started);
    }

private:
    /// Pauses the process for the time between two moments from now.
    static void pause_between(gateway_process& gateway, milliseconds begin,
                              milliseconds end)
    {
        std::this_thread::sleep_for(begin);
        gateway.process().signal(SIGSTOP);
        std::this_thread::sleep_for(end - begin);
        gateway.process().signal(SIGCONT);
    }

    static backend_standin& prepare(test_cluster& cluster)
    {
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        return server;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_test);

} // namespace mangolink::test
