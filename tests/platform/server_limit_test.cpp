#include "support/busiest_window.hpp"
#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

namespace mangolink::test
{
namespace
{

/// Time for gateways to learn what others know, after which the bound holds.
constexpr milliseconds contact_time{4000};

/// The largest number of requests that a server may get in any window, as the
/// platform specifies.
constexpr milliseconds window{4000};
std::size_t allowed_in_window(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

/// Returns the largest number of requests that arrived in any window after a
/// time.
std::size_t most_in_window(const backend_standin& server,
                           boot_clock::time_point after)
{
    std::vector<boot_clock::time_point> times;
    for (const auto& request : server.received())
    {
        if (request.at >= after)
        {
            times.push_back(request.at);
        }
    }
    return busiest_window(times, window);
}

/// Callers that send requests in the background, one thread for each gateway.
class background_callers final
{
public:
    background_callers(test_cluster& cluster, std::size_t gateways,
                       milliseconds interval, bool staged = false)
        : staged_(staged)
    {
        for (std::size_t index = 0; index < gateways; ++index)
        {
            threads_.emplace_back([this, &cluster, index, interval]
                                  { run(cluster, index, interval); });
        }
    }

    ~background_callers() { stop(); }

    void stop()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
    }

    std::size_t served() const { return served_; }
    std::size_t others() const { return others_; }

private:
    void run(test_cluster& cluster, std::size_t index, milliseconds interval)
    {
        test_caller caller(cluster.gateway(index).callers());
        for (unsigned count = 0; !stopping_; ++count)
        {
            const auto id = absl::StrCat("g", index, "-", count);
            const auto answer = caller.send_request(
                staged_ ? test_cluster::staged_request("/desk/x", id, "1")
                        : test_cluster::request("/desk/x", id));
            ++(answer && answer->result_int() == 200 ? served_ : others_);
            std::this_thread::sleep_for(interval);
        }
    }

    bool staged_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> served_{0};
    std::atomic<std::size_t> others_{0};
    std::vector<std::thread> threads_;
};

} // namespace

/// Servers that name the rate of requests that they take from all gateways.
class server_limit_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_limit_test);
    CPPUNIT_TEST(gateways_together_keep_the_rate_limit_that_a_server_names);
    CPPUNIT_TEST(restarted_and_paused_gateways_keep_it);
    CPPUNIT_TEST(a_server_that_names_no_limit_any_more_is_free_soon);
    CPPUNIT_TEST(what_no_server_takes_is_refused_before_stage_work);
    CPPUNIT_TEST(a_limited_stage_server_gets_few_calls_and_its_releases);
    CPPUNIT_TEST_SUITE_END();

public:
    void gateways_together_keep_the_rate_limit_that_a_server_names()
    {
        constexpr double limit = 2;
        constexpr std::size_t gateways = 4;
        test_cluster cluster;
        auto& limited = cluster.add_backend("desk", "desk-1");
        cluster.add_backend("desk", "desk-2");
        cluster.add_backend("desk", "desk-3");
        cluster.add_route("/desk/", "idempotent", "desk");
        cluster.publish();
        for (std::size_t i = 0; i < gateways; ++i)
        {
            cluster.start_gateway();
        }
        limited.set_notice("Server-Limit: 2");
        const auto named = boot_clock::now();
        background_callers callers(cluster, gateways, milliseconds(40));
        std::this_thread::sleep_for(contact_time * 3);
        callers.stop();
        section("the limited server gets no more than it takes",
                [&]
                {
                    CPPUNIT_ASSERT(
                        most_in_window(limited, named + contact_time) <=
                        allowed_in_window(limit));
                });
        section("the others serve what is above the limit",
                [&]
                {
                    CPPUNIT_ASSERT(callers.served() > 100);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), callers.others());
                });
    }

    void restarted_and_paused_gateways_keep_it()
    {
        constexpr std::size_t gateways = 4;
        test_cluster cluster;
        auto& limited = prepare(cluster, "idempotent", gateways);
        cluster.add_backend("desk", "desk-2");
        CPPUNIT_ASSERT(cluster.gateway(3).wait_for_servers(2));
        limited.set_notice("Server-Limit: 2");
        const auto named = boot_clock::now();
        background_callers callers(cluster, gateways - 2, milliseconds(40));
        auto& paused = cluster.gateway(2).process();
        auto& restarted = cluster.gateway(3);
        std::this_thread::sleep_for(contact_time / 2);
        paused.signal(SIGSTOP);
        restarted.process().signal(SIGKILL);
        restarted.process().wait(contact_time);
        std::this_thread::sleep_for(contact_time / 2);
        paused.signal(SIGCONT);
        restarted.start();
        CPPUNIT_ASSERT(bench::wait_until([&] { return restarted.ready(); }));
        std::this_thread::sleep_for(contact_time * 2);
        callers.stop();
        CPPUNIT_ASSERT(most_in_window(limited, named + contact_time) <=
                       allowed_in_window(2));
        section("both know the limit",
                [&]
                {
                    for (const std::size_t index : {2, 3})
                    {
                        CPPUNIT_ASSERT(cluster.gateway(index)
                                           .fetch_operator_page("/limits")
                                           .find("desk-1") !=
                                       std::string::npos);
                    }
                });
    }

    void a_server_that_names_no_limit_any_more_is_free_soon()
    {
        test_cluster cluster;
        auto& limited = prepare(cluster, "idempotent", 3);
        limited.set_notice("Server-Limit: 2");
        background_callers callers(cluster, 3, milliseconds(40));
        std::this_thread::sleep_for(contact_time);
        limited.set_notice({});
        std::this_thread::sleep_for(milliseconds(1500));
        const auto refused = callers.others();
        std::this_thread::sleep_for(milliseconds(1000));
        callers.stop();
        CPPUNIT_ASSERT(refused > 50);
        CPPUNIT_ASSERT_EQUAL(refused, callers.others());
    }

    void what_no_server_takes_is_refused_before_stage_work()
    {
        test_cluster cluster;
        auto& engine = cluster.add_backend("desk", "desk-1");
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        cluster.add_stage(cluster.add_route("/desk/", "idempotent", "desk"));
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        engine.set_notice("Server-Limit: 0.5");
        test_caller caller(gateway.callers());
        const auto send = [&](const std::string& id)
        {
            const auto answer =
                caller.send_request(cluster.staged_request("/desk/x", id, "1"));
            CPPUNIT_ASSERT(answer);
            return *answer;
        };
        CPPUNIT_ASSERT_EQUAL(200U, send("first").result_int());
        const auto begin = boot_clock::now();
        std::vector<double> delays;
        for (int i = 0; i < 5; ++i)
        {
            const auto answer = send("r" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL(503U, answer.result_int());
            delays.push_back(
                std::stod(std::string(answer[http::field::retry_after])));
        }
        section("at once", [&]
                { CPPUNIT_ASSERT(boot_clock::now() - begin < seconds(1)); });
        section(
            "without a stage item", [&]
            { CPPUNIT_ASSERT_EQUAL(std::size_t(1), stage.received().size()); });
        section("the callers are asked to return one after the other",
                [&]
                {
                    for (std::size_t i = 1; i < delays.size(); ++i)
                    {
                        CPPUNIT_ASSERT(delays[i] > delays[i - 1] + 1);
                    }
                });
        section("one that returns in time is served",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return send("late").result_int() == 200; },
                        contact_time));
                });
    }

    void a_limited_stage_server_gets_few_calls_and_its_releases()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        cluster.add_stage(cluster.add_route("/desk/", "idempotent", "desk"),
                          seconds(10));
        cluster.publish();
        for (int i = 0; i < 2; ++i)
        {
            cluster.start_gateway();
        }
        stage.set_notice("Server-Limit: 1");
        background_callers callers(cluster, 2, milliseconds(20), true);
        std::this_thread::sleep_for(contact_time);
        const auto before = stage.calls().size();
        const auto served = callers.served();
        std::this_thread::sleep_for(window * 2);
        const auto calls = stage.calls().size() - before;
        callers.stop();
        section("the calls are bounded",
                [&] { CPPUNIT_ASSERT(calls <= 2 * allowed_in_window(1)); });
        section("it is not starved",
                [&]
                {
                    CPPUNIT_ASSERT(calls >= 6);
                    CPPUNIT_ASSERT(callers.served() > served);
                });
        section("results are released without a permit",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return stage.stored_results() == 0; },
                        milliseconds(700)));
                });
    }

private:
    static backend_standin& prepare(test_cluster& cluster,
                                    const std::string& kind,
                                    std::size_t gateways)
    {
        auto& result = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/desk/", kind, "desk");
        cluster.publish();
        for (std::size_t i = 0; i < gateways; ++i)
        {
            cluster.start_gateway();
        }
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limit_test);

} // namespace mangolink::test
