#include "request/stage_time_estimator.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <deque>

namespace mangolink::test
{
namespace
{

/// Results of the requests of a simulated burst.
struct burst_result final
{
    unsigned in_time = 0;
    unsigned late = 0;
    unsigned refused = 0;
};

/// Simulates a burst on a server that processes ten requests a second and whose
/// load report shows a third of the queued work. Requests are refused when they
/// are expected to take longer than a second.
burst_result simulate_burst(bool corrected)
{
    constexpr milliseconds objective{1000};
    constexpr milliseconds work{100};
    stage_time_estimator estimate;
    burst_result result;
    milliseconds free_at{0};
    struct running final
    {
        milliseconds ends;
        milliseconds reported;
        milliseconds took;
    };
    std::deque<running> open;
    for (milliseconds now{0}; now < std::chrono::seconds(20);
         now += milliseconds(40))
    {
        while (!open.empty() && open.front().ends <= now)
        {
            estimate.add_sample("r", open.front().reported, open.front().took);
            open.pop_front();
        }
        const auto took = std::max(free_at, now) + work - now;
        const auto reported = std::max(took / 3, work);
        const auto expected =
            corrected ? estimate.corrected("r", reported) : reported;
        if (expected > objective)
        {
            ++result.refused;
            continue;
        }
        free_at = now + took;
        open.push_back({free_at, reported, took});
        ++(took <= objective ? result.in_time : result.late);
    }
    return result;
}

} // namespace

/// Bursts saturate the stage pools for seconds. Without a correction, admission
/// accepts requests that then finish late.
class stage_time_estimator_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_time_estimator_test);
    CPPUNIT_TEST(correction_reduces_late_requests_in_bursts);
    CPPUNIT_TEST(corrections_are_bounded_and_decay);
    CPPUNIT_TEST_SUITE_END();

public:
    void correction_reduces_late_requests_in_bursts()
    {
        const auto uncorrected_result = simulate_burst(false);
        const auto corrected_result = simulate_burst(true);
        section("without the correction most requests are late",
                [&] {
                    CPPUNIT_ASSERT(uncorrected_result.late >
                                   uncorrected_result.in_time);
                });
        section("with the correction most accepted requests are in time",
                [&]
                {
                    CPPUNIT_ASSERT(corrected_result.in_time >
                                   3 * corrected_result.late);
                    CPPUNIT_ASSERT(corrected_result.in_time >
                                   2 * uncorrected_result.in_time);
                });
    }

    void corrections_are_bounded_and_decay()
    {
        stage_time_estimator estimate;
        const milliseconds reported{200};
        CPPUNIT_ASSERT(estimate.corrected("r", reported) == reported);
        for (int i = 0; i < 100; ++i)
        {
            estimate.add_sample("r", reported, reported * 50);
        }
        CPPUNIT_ASSERT(estimate.corrected("r", reported) == reported * 4);
        section(
            "other routes are not affected", [&]
            { CPPUNIT_ASSERT(estimate.corrected("s", reported) == reported); });
        for (int i = 0; i < 100; ++i)
        {
            estimate.add_sample("r", reported, reported / 2);
        }
        section(
            "fast stages do not reduce the estimate", [&]
            { CPPUNIT_ASSERT(estimate.corrected("r", reported) == reported); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_time_estimator_test);

} // namespace mangolink::test
