#include "process/adaptive_timeout.hpp"
#include "support/section.hpp"

namespace mangolink::test
{

/// Time limits of calls whose answers take longer than usual.
class adaptive_timeout_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adaptive_timeout_test);
    CPPUNIT_TEST(a_slow_answer_arrives_within_a_few_attempts);
    CPPUNIT_TEST(limits_stay_as_long_as_answers_need_them);
    CPPUNIT_TEST(an_outage_keeps_no_limit_long);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_slow_answer_arrives_within_a_few_attempts()
    {
        for (const auto latency : {milliseconds(10), milliseconds(450),
                                   milliseconds(900), milliseconds(1500)})
        {
            section(std::to_string(latency.count()) + " ms",
                    [&]
                    {
                        adaptive_timeout timeout;
                        int attempts = 1;
                        while (timeout.limit(usual) < latency)
                        {
                            timeout.record_timeout();
                            ++attempts;
                        }
                        CPPUNIT_ASSERT(attempts <= 3);
                    });
        }
    }

    void limits_stay_as_long_as_answers_need_them()
    {
        adaptive_timeout timeout;
        timeout.record_timeout();
        section("an answer that the usual limit would have ended",
                [&]
                {
                    timeout.record_success(usual, milliseconds(600));
                    CPPUNIT_ASSERT(timeout.limit(usual) > milliseconds(600));
                });
        section("a quick one",
                [&]
                {
                    timeout.record_success(usual, milliseconds(20));
                    CPPUNIT_ASSERT(timeout.limit(usual) == usual);
                });
        section("one that is nearly too late raises the limit in advance",
                [&]
                {
                    timeout.record_success(usual, milliseconds(390));
                    CPPUNIT_ASSERT(timeout.limit(usual) > usual);
                });
    }

    void an_outage_keeps_no_limit_long()
    {
        adaptive_timeout timeout;
        milliseconds longest{0};
        int usual_ones = 0;
        constexpr int attempts = 30;
        for (int i = 0; i < attempts; ++i)
        {
            longest = std::max(longest, timeout.limit(usual));
            usual_ones += timeout.limit(usual) == usual ? 1 : 0;
            timeout.record_timeout();
        }
        CPPUNIT_ASSERT(longest <= usual * 4);
        CPPUNIT_ASSERT(usual_ones >= attempts / 3);
    }

private:
    static constexpr milliseconds usual{400};
};

CPPUNIT_TEST_SUITE_REGISTRATION(adaptive_timeout_test);

} // namespace mangolink::test
