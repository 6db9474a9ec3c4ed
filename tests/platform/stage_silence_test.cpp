#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{
namespace
{

/// That of a sound server.
constexpr milliseconds short_silence{1200};

} // namespace

/// Sound stage servers that fall silent for a while and go on.
class stage_silence_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_silence_test);
    CPPUNIT_TEST(a_silent_stage_server_executes_no_item_twice);
    CPPUNIT_TEST(a_silent_stage_pool_serves_again_right_after);
    CPPUNIT_TEST(a_stage_server_that_stays_silent_is_replaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_silent_stage_server_executes_no_item_twice()
    {
        test_cluster cluster;
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(150));
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        std::thread during_call(
            [&]
            {
                bench::wait_until([&] { return !stage.calls().empty(); });
                stage.server().fall_silent(short_silence);
            });
        test_caller caller(gateway.callers());
        const auto answer = caller.send_request(
            cluster.staged_request("/talk/x", "r", "2", milliseconds(2400)));
        during_call.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stage.received().size());
    }

    void a_silent_stage_pool_serves_again_right_after()
    {
        test_cluster cluster;
        std::vector<stage_server_standin*> stages;
        for (const char* id : {"encode-1", "encode-2"})
        {
            stages.push_back(
                &cluster.add_stage_server("encode", id, milliseconds(20)));
        }
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        for (auto* stage : stages)
        {
            stage->server().fall_silent(short_silence);
        }
        std::atomic<unsigned> served{0};
        std::vector<std::thread> callers;
        constexpr unsigned requests = 8;
        for (unsigned i = 0; i < requests; ++i)
        {
            callers.emplace_back(
                [&, i]
                {
                    const std::string id = "r" + std::to_string(i);
                    test_caller caller(gateway.callers());
                    const auto answer =
                        caller.send_request(cluster.staged_request(
                            "/talk/x", id, "2", milliseconds(2400)));
                    served += answer && answer->result_int() == 200 ? 1 : 0;
                });
        }
        for (auto& caller : callers)
        {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL(requests, served.load());
    }

    void a_stage_server_that_stays_silent_is_replaced()
    {
        test_cluster cluster;
        auto& one =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        one.hang_next(1);
        std::thread during_call(
            [&]
            {
                bench::wait_until([&] { return one.hung() > 0; });
                std::this_thread::sleep_for(milliseconds(800));
                cluster.add_stage_server("encode", "encode-2",
                                         milliseconds(20));
            });
        test_caller caller(gateway.callers());
        const auto begin = boot_clock::now();
        const auto answer =
            caller.send_request(cluster.staged_request("/talk/x", "r"));
        during_call.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        section("as soon as there is another one",
                [&] {
                    CPPUNIT_ASSERT(boot_clock::now() - begin <
                                   milliseconds(1500));
                });
    }

private:
    /// Adds an engine and a streaming route with one stage.
    static void prepare(test_cluster& cluster)
    {
        cluster.add_backend("engine", "engine-1")
            .set_stream(4, milliseconds(1));
        auto& route = cluster.add_route("/talk/", "streaming", "engine");
        route["streamResume"] = true;
        route["targetGapMs"] = 300;
        cluster.add_stage(route);
        cluster.publish();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_silence_test);

} // namespace mangolink::test
