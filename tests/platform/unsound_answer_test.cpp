#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{

/// Backend servers whose answers never end or stall, beside slow but sound
/// ones.
class unsound_answer_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unsound_answer_test);
    CPPUNIT_TEST(endless_answers_are_given_up);
    CPPUNIT_TEST(a_stream_that_sends_single_bytes_has_stalled);
    CPPUNIT_TEST(a_slow_stream_without_an_alternative_goes_on);
    CPPUNIT_TEST_SUITE_END();

public:
    void endless_answers_are_given_up()
    {
        test_cluster cluster;
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        constexpr std::uint64_t max_accepted_bytes = 32 * 1024 * 1024;
        for (const auto fault :
             {backend_fault::endless_head, backend_fault::endless_body,
              backend_fault::endless_event, backend_fault::endless_chunk})
        {
            const std::string id =
                "endless-" + std::to_string(static_cast<int>(fault));
            section(
                id,
                [&]
                {
                    const auto sent_before = server.server().sent_bytes();
                    const auto begin = boot_clock::now();
                    server.add_faults({fault});
                    test_caller caller(gateway.callers());
                    const auto answer =
                        caller.send_request(cluster.request("/orders/x", id));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
                    CPPUNIT_ASSERT(boot_clock::now() - begin <
                                   milliseconds(4000));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.run_count(id));
                    CPPUNIT_ASSERT(server.server().sent_bytes() - sent_before <
                                   max_accepted_bytes);
                });
        }
    }

    void a_stream_that_sends_single_bytes_has_stalled()
    {
        test_cluster cluster;
        auto& one = cluster.add_backend("engine", "engine-1");
        auto& two = cluster.add_backend("engine", "engine-2");
        auto& gateway = start(cluster);
        for (auto* engine : {&one, &two})
        {
            engine->set_stream(4, milliseconds(1));
            engine->add_faults({backend_fault::trickling_event});
        }
        // The first server that gets the request stalls, the other is sound.
        std::thread after_first_send(
            [&]
            {
                bench::wait_until([&] { return runs(one, two) > 0; });
                one.clear_faults();
                two.clear_faults();
            });
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r"));
        after_first_send.join();
        section("it goes on at another server before its deadline",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2), runs(one, two));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(all_events(4), answer->body());
                });
    }

    void a_slow_stream_without_an_alternative_goes_on()
    {
        test_cluster cluster;
        auto& slow = cluster.add_backend("engine", "engine-1");
        auto& gateway = start(cluster);
        slow.set_stream(2, milliseconds(1900));
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(cluster.request("/talk/x", "r"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(all_events(2), answer->body());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), slow.run_count("r"));
    }

private:
    static std::size_t runs(const backend_standin& one,
                            const backend_standin& two)
    {
        return one.run_count("r") + two.run_count("r");
    }

    static gateway_process& start(test_cluster& cluster)
    {
        auto& route = cluster.add_route("/talk/", "streaming", "engine");
        route["streamResume"] = true;
        route["targetGapMs"] = 300;
        cluster.publish();
        return cluster.start_gateway();
    }

    static std::string all_events(unsigned last)
    {
        std::string text;
        for (unsigned number = 1; number <= last; ++number)
        {
            text += event_text(number);
        }
        return text;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unsound_answer_test);

} // namespace mangolink::test
