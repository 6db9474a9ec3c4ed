#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
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
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last)
    {
        while (times[first] + window <= times[last])
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Callers that send requests in the background, one thread for each gateway.
class background_callers final
{
public:
    background_callers(test_cluster& cluster, std::size_t gateways,
                       milliseconds interval)
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
            const auto answer = caller.send_request(test_cluster::request(
                "/desk/x", absl::StrCat("g", index, "-", count)));
            ++(answer && answer->result_int() == 200 ? served_ : others_);
            std::this_thread::sleep_for(interval);
        }
    }

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limit_test);

} // namespace mangolink::test
