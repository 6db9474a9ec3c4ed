#include "request/attempt_policy.hpp"
#include "support/section.hpp"

namespace mangolink::test
{
namespace
{

gateway_route route(route_kind kind, bool resumable = false)
{
    gateway_route result;
    result.kind = kind;
    result.resumable = resumable;
    result.max_attempts = 2;
    return result;
}

} // namespace

/// Checks the retry guarantees in every combination of request states.
class attempt_policy_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempt_policy_test);
    CPPUNIT_TEST(guarantees_hold_in_every_state);
    CPPUNIT_TEST(examples);
    CPPUNIT_TEST_SUITE_END();

public:
    void guarantees_hold_in_every_state()
    {
        const std::vector<gateway_route> routes{
            route(route_kind::idempotent), route(route_kind::non_idempotent),
            route(route_kind::streaming), route(route_kind::streaming, true)};
        for (const auto& one : routes)
        {
            for (unsigned bits = 0; bits < 64; ++bits)
            {
                for (std::uint32_t sends = 0; sends < 4; ++sends)
                {
                    for (int end = 0; end <= 4; ++end)
                    {
                        check(one, static_cast<attempt_outcome>(end), sends,
                              bits);
                    }
                }
            }
        }
    }

    void examples()
    {
        request_progress progress;
        progress.sends = 1;
        section("an attempt that has not run is retried at another server",
                [&]
                {
                    CPPUNIT_ASSERT(
                        next_step::retry ==
                        decide_next(route(route_kind::non_idempotent),
                                    attempt_outcome::refused, progress, true));
                });
        section("without retry budget the request is refused",
                [&]
                {
                    CPPUNIT_ASSERT(
                        next_step::refuse ==
                        decide_next(route(route_kind::non_idempotent),
                                    attempt_outcome::refused, progress, false));
                });
        progress.may_have_run = true;
        section("a non-idempotent request without an answer fails",
                [&]
                {
                    CPPUNIT_ASSERT(
                        next_step::fail ==
                        decide_next(route(route_kind::non_idempotent),
                                    attempt_outcome::broken, progress, true));
                });
        progress.answer_begun = true;
        section("a partial stream is resumed only if the route is resumable",
                [&]
                {
                    CPPUNIT_ASSERT(next_step::cut ==
                                   decide_next(route(route_kind::streaming),
                                               attempt_outcome::broken,
                                               progress, true));
                    CPPUNIT_ASSERT(
                        next_step::resume ==
                        decide_next(route(route_kind::streaming, true),
                                    attempt_outcome::broken, progress, true));
                });
    }

private:
    static void check(const gateway_route& one, attempt_outcome end,
                      std::uint32_t sends, unsigned bits)
    {
        request_progress progress;
        progress.sends = sends;
        progress.may_have_run = (bits & 1) != 0 ||
                                end == attempt_outcome::answered ||
                                end == attempt_outcome::broken;
        progress.answer_begun = (bits & 2) != 0;
        progress.time_left = (bits & 4) != 0;
        progress.server_failure =
            (bits & 8) != 0 && end == attempt_outcome::answered;
        const bool allowed = (bits & 16) != 0;
        const auto step = decide_next(one, end, progress, allowed);
        const bool repeats =
            step == next_step::retry || step == next_step::resume;
        CPPUNIT_ASSERT(!repeats || (allowed && progress.time_left &&
                                    sends < one.max_attempts));
        CPPUNIT_ASSERT(!repeats || !progress.may_have_run ||
                       one.is_retryable());
        CPPUNIT_ASSERT(step != next_step::refuse || !progress.may_have_run);
        CPPUNIT_ASSERT(step != next_step::deliver ||
                       end == attempt_outcome::answered);
        const bool starts_answer = step == next_step::refuse ||
                                   step == next_step::fail ||
                                   step == next_step::retry;
        CPPUNIT_ASSERT(!progress.answer_begun || !starts_answer);
        CPPUNIT_ASSERT(progress.answer_begun ||
                       (step != next_step::cut && step != next_step::resume));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_policy_test);

} // namespace mangolink::test
