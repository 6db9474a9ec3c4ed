#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <boost/beast/http/write.hpp>

#include <atomic>
#include <thread>

namespace mangolink::test
{
namespace
{

/// Prompt tokens shared by all requests of a test, and those of one request.
constexpr unsigned shared_tokens = 6000;
constexpr unsigned own_tokens = 100;

batching_engine_settings engine_of(std::uint32_t max_batch)
{
    batching_engine_settings settings;
    settings.model.step_base = milliseconds(5);
    settings.model.prefill_per_token = microseconds(10);
    settings.model.cache_tokens = 100'000;
    settings.model.max_batch = max_batch;
    settings.max_waiting = 0;
    return settings;
}

text_request prompt(const std::string& id)
{
    auto request = test_cluster::request("/talk/x", id);
    request.set("X-Model", "m");
    request.set("X-Token-Counts",
                std::to_string(shared_tokens + own_tokens) + ",5");
    request.set("X-Prompt-Prefix", "5c1e07a2:" + std::to_string(shared_tokens));
    return request;
}

/// Sends one request on each of several connections in parallel; returns the
/// number of complete streams.
unsigned count_complete_answers(const gateway_process& gateway,
                                unsigned callers)
{
    std::string expected;
    for (unsigned number = 1; number <= 5; ++number)
    {
        expected += event_text(number);
    }
    std::atomic<unsigned> complete{0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < callers; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                test_caller caller(gateway.callers());
                const auto answer =
                    caller.send_request(prompt("r" + std::to_string(i)));
                complete += answer && answer->body() == expected ? 1 : 0;
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return complete;
}

} // namespace

/// Model engines that batch requests and cache prompt prefixes.
class engine_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_test);
    CPPUNIT_TEST(a_shared_prefix_is_prefilled_once);
    CPPUNIT_TEST(many_requests_run_in_one_batch);
    CPPUNIT_TEST(a_full_engine_sheds_requests_to_another);
    CPPUNIT_TEST(a_closed_caller_frees_its_batch_slot);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_shared_prefix_is_prefilled_once()
    {
        test_cluster cluster;
        std::vector<const batching_engine*> engines;
        for (const char* id : {"engine-1", "engine-2", "engine-3"})
        {
            auto& backend = cluster.add_backend("engine", id);
            backend.set_engine(engine_of(8));
            engines.push_back(&backend.engine());
        }
        cluster.add_route("/talk/", "streaming", "engine")["sessionAffinity"] =
            true;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        constexpr unsigned requests = 6;
        test_caller caller(gateway.callers());
        for (unsigned i = 0; i < requests; ++i)
        {
            CPPUNIT_ASSERT(
                caller.send_request(prompt("r" + std::to_string(i))));
        }
        std::uint64_t prefilled = 0;
        std::uint64_t reused = 0;
        for (const auto* engine : engines)
        {
            prefilled += engine->prefilled_tokens();
            reused += engine->reused_tokens();
        }
        section("one engine of three prefills the prefix",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        std::uint64_t(shared_tokens + requests * own_tokens),
                        prefilled);
                });
        section("all later requests find the prefix in its cache",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        std::uint64_t((requests - 1) * shared_tokens), reused);
                });
    }

    void many_requests_run_in_one_batch()
    {
        test_cluster cluster;
        auto& backend = cluster.add_backend("engine", "engine-1");
        auto settings = engine_of(8);
        settings.model.step_base = milliseconds(100);
        backend.set_engine(settings);
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        section(
            "every caller gets its complete stream", [&]
            { CPPUNIT_ASSERT_EQUAL(6U, count_complete_answers(gateway, 6)); });
        section("several streams share the steps",
                [&] { CPPUNIT_ASSERT(backend.engine().largest_batch() > 1); });
    }

    void a_full_engine_sheds_requests_to_another()
    {
        test_cluster cluster;
        auto& small = cluster.add_backend("engine", "engine-1");
        auto& large = cluster.add_backend("engine", "engine-2");
        auto settings = engine_of(1);
        settings.model.step_base = milliseconds(60);
        small.set_engine(settings);
        settings.model.max_batch = 8;
        large.set_engine(settings);
        cluster.add_route("/talk/", "streaming", "engine");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        section(
            "every caller gets its complete stream", [&]
            { CPPUNIT_ASSERT_EQUAL(6U, count_complete_answers(gateway, 6)); });
        section("no request ran twice",
                [&]
                {
                    for (unsigned i = 0; i < 6; ++i)
                    {
                        const std::string id = "r" + std::to_string(i);
                        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                             small.run_count(id) +
                                                 large.run_count(id));
                    }
                });
    }

    void a_closed_caller_frees_its_batch_slot()
    {
        test_cluster cluster;
        auto& backend = cluster.add_backend("engine", "engine-1");
        auto settings = engine_of(1);
        settings.model.step_base = milliseconds(50);
        settings.events_per_answer = 1000; // outlasts this test
        backend.set_engine(settings);
        cluster.add_route("/talk/", "streaming", "engine")["maxAttempts"] = 1;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller leaving(gateway.callers());
        auto request = prompt("r1");
        std::ostringstream bytes;
        bytes << request;
        leaving.send(bytes.str());
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return backend.run_count("r1") == 1; }));
        section("other requests are refused meanwhile",
                [&]
                {
                    test_caller other(gateway.callers());
                    const auto answer = other.send_request(prompt("r2"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
                    CPPUNIT_ASSERT(answer->count("Retry-After") == 1);
                });
        leaving.close();
        section("requests are served once the caller has disconnected",
                [&]
                {
                    unsigned number = 3;
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            const auto id = "r" + std::to_string(number++);
                            auto next = prompt(id);
                            next.set("X-Deadline-Ms", "400");
                            test_caller other(gateway.callers());
                            other.send_request(next); // returns at its deadline
                            return backend.run_count(id) == 1;
                        }));
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_test);

} // namespace mangolink::test
