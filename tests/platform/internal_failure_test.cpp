#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <sys/resource.h>

#include <ctime>
#include <thread>

namespace mangolink::test
{

/// Requests on which the gateway's own code fails.
class internal_failure_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(internal_failure_test);
    CPPUNIT_TEST(a_request_that_cannot_be_built_is_answered);
    CPPUNIT_TEST(an_item_key_that_is_no_text_blocks_no_stage_server);
    CPPUNIT_TEST(a_lack_of_descriptors_keeps_no_processor_busy);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_request_that_cannot_be_built_is_answered()
    {
        test_cluster cluster;
        auto& gateway = start(cluster);
        // Handles end with the request id: their list exceeds a header field.
        const std::string id(2000, 'a');
        test_caller caller(gateway.callers());
        const auto answer = caller.send_request(staged(id, "40"));
        section("the caller gets an answer",
                [&]
                {
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
                });
        section("the next request on the connection is served",
                [&] { assert_served(caller.send_request(staged("r", "2"))); });
    }

    void an_item_key_that_is_no_text_blocks_no_stage_server()
    {
        test_cluster cluster;
        auto& gateway = start(cluster);
        test_caller caller(gateway.callers());
        for (const char* field : {"X-Chunk-Key", "X-Attempt-Id"})
        {
            auto request = staged("r", "2");
            request.set(field, "\xff\xfe");
            section(std::string("refused: ") + field,
                    [&]
                    {
                        const auto answer = caller.send_request(request);
                        CPPUNIT_ASSERT(answer);
                        CPPUNIT_ASSERT_EQUAL(400U, answer->result_int());
                    });
        }
        section("the next request is served",
                [&] { assert_served(caller.send_request(staged("r", "2"))); });
    }

    void a_lack_of_descriptors_keeps_no_processor_busy()
    {
        test_cluster cluster;
        auto& gateway = start(cluster);
        const pid_t process = gateway.process().id();
        const rlimit none{8, 8}; // fewer than are open
        CPPUNIT_ASSERT_EQUAL(0,
                             ::prlimit(process, RLIMIT_NOFILE, &none, nullptr));
        std::vector<std::unique_ptr<test_caller>> waiting;
        constexpr int count = 3;
        waiting.reserve(count);
        for (int i = 0; i < count; ++i)
        {
            waiting.push_back(
                std::make_unique<test_caller>(gateway.readiness()));
        }
        const auto before = processor_time(process);
        std::this_thread::sleep_for(milliseconds(1000));
        const auto used = processor_time(process) - before;
        CPPUNIT_ASSERT(used < milliseconds(300));
    }

private:
    /// Returns the processor time that a process has used.
    static milliseconds processor_time(pid_t process)
    {
        clockid_t clock{};
        ::clock_getcpuclockid(process, &clock);
        timespec time{};
        ::clock_gettime(clock, &time);
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::seconds(time.tv_sec) +
            std::chrono::nanoseconds(time.tv_nsec));
    }

    static gateway_process& start(test_cluster& cluster)
    {
        cluster.add_backend("engine", "engine-1").set_stream(2, {});
        cluster.add_stage_server("encode", "encode-1", milliseconds(5));
        auto& route = cluster.add_route("/talk/", "streaming", "engine");
        cluster.add_stage(route);
        cluster.publish();
        return cluster.start_gateway();
    }

    static text_request staged(const std::string& id, const std::string& items)
    {
        auto request = test_cluster::staged_request("/talk/x", id, items);
        request.set("X-Chunk-Key", "key"); // short, as the id may be long
        return request;
    }

    static void assert_served(const std::optional<text_response>& answer)
    {
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(event_text(1) + event_text(2), answer->body());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(internal_failure_test);

} // namespace mangolink::test
