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

/// A part that crashes every server, and one that all requests share.
constexpr const char* deadly_part = "dead01";
constexpr const char* common_part = "aa01";

/// Time for gateways to learn what others know, and the number of requests that
/// may still be sent after it, as the platform specifies.
constexpr milliseconds contact_time{4000};
constexpr std::size_t allowed_sends = 3;

/// Returns a stream request with a prompt of its own.
text_request prompt_request(const std::string& id, const std::string& part)
{
    auto request = test_cluster::request("/talk/x", id);
    request.set("X-Model", "m");
    request.set("X-Token-Counts", "900,20");
    request.set("X-Prompt-Prefix",
                absl::StrCat(common_part, ":500,", part, ":300,",
                             absl::Hex(std::hash<std::string>()(id)), ":100"));
    return request;
}

/// Engines that recover some time after a crash, as another start.
class engine_pool final
{
public:
    /// `events`: that they give before the deadly part crashes them.
    engine_pool(test_cluster& cluster, unsigned count, milliseconds downtime,
                unsigned events = 0)
        : cluster_(cluster), downtime_(downtime)
    {
        for (unsigned i = 1; i <= count; ++i)
        {
            auto& engine = cluster.add_backend("engine", absl::StrCat("e-", i));
            engine.set_stream(4, milliseconds(15));
            engine.set_crashing_part(deadly_part, events);
            engines_.push_back(&engine);
        }
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        recovery_ = std::thread([this] { recover_loop(); });
    }

    ~engine_pool()
    {
        stopping_ = true;
        recovery_.join();
    }

    const std::vector<backend_standin*>& engines() const { return engines_; }

    /// Returns the times of all crashes in order.
    std::vector<boot_clock::time_point> crash_times() const
    {
        std::vector<boot_clock::time_point> times;
        for (const auto* engine : engines_)
        {
            const auto own = engine->crash_times();
            times.insert(times.end(), own.begin(), own.end());
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    /// Returns the number of requests with the deadly part that arrived after a
    /// time.
    std::size_t deadly_sends_after(boot_clock::time_point time) const
    {
        std::size_t count = 0;
        for (const auto* engine : engines_)
        {
            for (const auto& request : engine->received_with_part(deadly_part))
            {
                count += request.at > time ? 1 : 0;
            }
        }
        return count;
    }

private:
    void recover_loop()
    {
        while (!stopping_)
        {
            std::this_thread::sleep_for(milliseconds(20));
            for (auto* engine : engines_)
            {
                if (engine->crashed() &&
                    boot_clock::now() >
                        engine->crash_times().back() + downtime_)
                {
                    engine->recover();
                    cluster_.restart_server(engine->id());
                }
            }
        }
    }

    test_cluster& cluster_;
    milliseconds downtime_;
    std::vector<backend_standin*> engines_;
    std::atomic<bool> stopping_{false};
    std::thread recovery_;
};

/// Sound requests that go on in the background, with parts of their own but the
/// first.
class sound_callers final
{
public:
    sound_callers(test_cluster& cluster,
                  const std::vector<std::size_t>& gateways)
    {
        for (const auto index : gateways)
        {
            threads_.emplace_back(
                [this, &cluster, index]
                { run(cluster.gateway(index).callers(), index); });
        }
    }

    ~sound_callers() { stop(); }

    void stop()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
    }

    unsigned served() const { return served_; }
    unsigned refused() const { return refused_; }

private:
    void run(const socket_address& address, std::size_t caller)
    {
        for (unsigned i = 0; !stopping_; ++i)
        {
            const auto request =
                prompt_request(absl::StrCat("sound-", caller, "-", i),
                               absl::StrCat("bb0", i % 9));
            try
            {
                test_caller connection(address);
                const auto answer = connection.send_request(request);
                const unsigned status = answer ? answer->result_int() : 0;
                served_ += status == 200 ? 1 : 0;
                refused_ += status == 503 ? 1 : 0;
            }
            catch (const boost::system::system_error&)
            {
                // The gateway is down.
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    }

    std::atomic<bool> stopping_{false};
    std::atomic<unsigned> served_{0};
    std::atomic<unsigned> refused_{0};
    std::vector<std::thread> threads_;
};

/// Sends a request with the deadly part; returns the status.
unsigned send_deadly(const gateway_process& gateway)
{
    static std::atomic<unsigned> number{0};
    test_caller caller(gateway.callers());
    const auto answer = caller.send_request(
        prompt_request(absl::StrCat("deadly-", ++number), deadly_part));
    return answer ? answer->result_int() : 0;
}

} // namespace

/// A part of a prompt that crashes every server which works on it.
class query_of_death_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(query_of_death_test);
    CPPUNIT_TEST(a_part_that_crashes_servers_stops_reaching_them);
    CPPUNIT_TEST(
        a_part_that_crashes_servers_after_an_event_stops_reaching_them);
    CPPUNIT_TEST(a_restarted_and_a_paused_gateway_learn_what_is_refused);
    CPPUNIT_TEST(a_refused_request_costs_no_stage_work);
    CPPUNIT_TEST(crashes_of_many_servers_at_once_refuse_nobody);
    CPPUNIT_TEST(servers_that_end_amid_answers_refuse_nobody);
    CPPUNIT_TEST(a_disabled_quarantine_refuses_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_part_that_crashes_servers_stops_reaching_them()
    {
        expect_few_late_sends(0);
    }

    /// Guards against a part that is never refused, as its servers give an
    /// event before it crashes them.
    void a_part_that_crashes_servers_after_an_event_stops_reaching_them()
    {
        expect_few_late_sends(1);
    }

    void a_restarted_and_a_paused_gateway_learn_what_is_refused()
    {
        test_cluster cluster;
        engine_pool pool(cluster, 8, milliseconds(300));
        for (int i = 0; i < 3; ++i)
        {
            cluster.start_gateway();
        }
        sound_callers sound(cluster, {0, 1});
        auto& paused = cluster.gateway(2);
        paused.process().signal(SIGSTOP);
        quarantine(cluster.gateway(0));
        auto& restarted = cluster.gateway(1);
        restarted.process().signal(SIGKILL);
        restarted.process().wait(milliseconds(5000));
        restarted.start();
        CPPUNIT_ASSERT(bench::wait_until([&] { return restarted.ready(); }));
        paused.process().signal(SIGCONT);
        for (auto* gateway : {&restarted, &paused})
        {
            section(gateway->settings_path(),
                    [&]
                    {
                        CPPUNIT_ASSERT(bench::wait_until(
                            [&] { return quarantined_parts(*gateway) == 1; },
                            contact_time));
                        const auto begin = boot_clock::now();
                        CPPUNIT_ASSERT_EQUAL(503U, send_deadly(*gateway));
                        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                             pool.deadly_sends_after(begin));
                    });
        }
    }

    void a_refused_request_costs_no_stage_work()
    {
        test_cluster cluster;
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        cluster.add_stage(cluster.add_route("/staged/", "streaming", "engine"));
        engine_pool pool(cluster, 6, milliseconds(300));
        auto& gateway = cluster.start_gateway();
        {
            sound_callers sound(cluster, {0});
            quarantine(gateway);
        }
        const auto calls = stage.received().size();
        test_caller caller(gateway.callers());
        auto request = cluster.staged_request("/staged/x", "r");
        request.set("X-Prompt-Prefix",
                    absl::StrCat("cc07:10,", deadly_part, ":300,ee01:100"));
        const auto begin = boot_clock::now();
        const auto answer = caller.send_request(request);
        section(
            "the refusal comes at once and names a time beyond the deadline",
            [&]
            {
                CPPUNIT_ASSERT(answer);
                CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
                CPPUNIT_ASSERT_EQUAL(std::string("600.000"),
                                     std::string((*answer)["Retry-After"]));
                CPPUNIT_ASSERT(boot_clock::now() - begin < milliseconds(200));
            });
        section("no stage server got an item",
                [&] { CPPUNIT_ASSERT_EQUAL(calls, stage.received().size()); });
        section("operators see what is refused, why and since when",
                [&]
                {
                    const auto page = nlohmann::json::parse(
                        gateway.fetch_operator_page("/quarantine"));
                    const auto& part = page["parts"][0];
                    CPPUNIT_ASSERT_EQUAL(std::string(deadly_part),
                                         part["part"].get<std::string>());
                    CPPUNIT_ASSERT(part["crashes"].get<int>() >= 3);
                    CPPUNIT_ASSERT(part["since_ms_ago"].get<int>() >= 0);
                    CPPUNIT_ASSERT(part["refused"].get<int>() >= 1);
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return gateway.log_text().find(
                                       "Part quarantined") != std::string::npos;
                        },
                        milliseconds(1000)));
                });
    }

    void crashes_of_many_servers_at_once_refuse_nobody()
    {
        test_cluster cluster;
        engine_pool pool(cluster, 8, milliseconds(400));
        for (int i = 0; i < 2; ++i)
        {
            cluster.start_gateway();
        }
        sound_callers sound(cluster, {0, 1, 0, 1});
        for (std::size_t round = 0; round < 6; ++round)
        {
            std::this_thread::sleep_for(milliseconds(700));
            for (std::size_t i = 0; i < 4; ++i)
            {
                pool.engines()[(round + i) % 8]->crash();
            }
        }
        sound.stop();
        CPPUNIT_ASSERT(sound.served() > 0);
        for (std::size_t i = 0; i < 2; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                 quarantined_parts(cluster.gateway(i)));
            CPPUNIT_ASSERT(cluster.gateway(i)
                               .fetch_operator_page("/metrics")
                               .find("mangolink_prompt_refusals_total 0") !=
                           std::string::npos);
        }
    }

    /// Guards against blame for every answer that breaks off.
    void servers_that_end_amid_answers_refuse_nobody()
    {
        test_cluster cluster;
        engine_pool pool(cluster, 8, milliseconds(1000));
        for (auto* engine : pool.engines())
        {
            engine->set_stream(20, milliseconds(30));
        }
        for (int i = 0; i < 2; ++i)
        {
            cluster.start_gateway();
        }
        sound_callers sound(cluster, {0, 1, 0, 1, 0, 1, 0, 1});
        for (std::size_t i = 0; i < 14; ++i)
        {
            std::this_thread::sleep_for(milliseconds(700));
            pool.engines()[i * 3 % 8]->crash();
        }
        sound.stop();
        CPPUNIT_ASSERT(sound.served() > 0);
        for (std::size_t i = 0; i < 2; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                 quarantined_parts(cluster.gateway(i)));
        }
        section("sound requests are served once the servers are back",
                [&]
                {
                    std::this_thread::sleep_for(milliseconds(2000));
                    constexpr unsigned requests = 24;
                    for (unsigned i = 0; i < requests; ++i)
                    {
                        test_caller caller(cluster.gateway(i % 2).callers());
                        const auto answer = caller.send_request(
                            prompt_request(absl::StrCat("after-", i),
                                           absl::StrCat("bb0", i % 9)));
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                    }
                });
    }

    void a_disabled_quarantine_refuses_nothing()
    {
        test_cluster cluster;
        engine_pool pool(cluster, 6, milliseconds(300));
        auto& gateway =
            cluster.start_gateway("[quarantine]\nenabled = false\n");
        sound_callers sound(cluster, {0});
        for (int i = 0; i < 10; ++i)
        {
            send_deadly(gateway);
            std::this_thread::sleep_for(milliseconds(250));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), quarantined_parts(gateway));
        CPPUNIT_ASSERT(pool.crash_times().size() > 5);
    }

private:
    /// Sends requests with the deadly part, which crashes servers after some
    /// events, beside sound ones.
    static void expect_few_late_sends(unsigned events)
    {
        test_cluster cluster;
        engine_pool pool(cluster, 8, milliseconds(1000), events);
        for (int i = 0; i < 3; ++i)
        {
            cluster.start_gateway();
        }
        sound_callers sound(cluster, {0, 1, 2});
        const auto begin = boot_clock::now();
        for (std::size_t i = 0; boot_clock::now() - begin < milliseconds(9000);
             ++i)
        {
            send_deadly(cluster.gateway(i % 3));
            std::this_thread::sleep_for(milliseconds(250));
        }
        const auto served = sound.served();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return sound.served() > served + 50; }, milliseconds(5000)));
        sound.stop();
        const auto crashes = pool.crash_times();
        section("few requests with the part are sent once all may know it",
                [&]
                {
                    const std::size_t late =
                        crashes.size() < 5 ? 0
                                           : pool.deadly_sends_after(
                                                 crashes[4] + contact_time);
                    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(late, " sends"),
                                           late <= allowed_sends);
                });
        section("no request that shares its other parts is refused",
                [&] { CPPUNIT_ASSERT_EQUAL(0U, sound.refused()); });
    }

    /// Sends requests with the deadly part until the gateway refuses them.
    static void quarantine(const gateway_process& gateway)
    {
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                std::this_thread::sleep_for(milliseconds(250));
                send_deadly(gateway);
                return quarantined_parts(gateway) == 1;
            },
            milliseconds(10'000)));
    }

    static std::size_t quarantined_parts(const gateway_process& gateway)
    {
        const auto page = nlohmann::json::parse(
            gateway.fetch_operator_page("/quarantine"), nullptr, false);
        return page.is_object() ? page["parts"].size() : 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(query_of_death_test);

} // namespace mangolink::test
