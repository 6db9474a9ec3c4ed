#include "request/prompt_work.hpp"
#include "support/section.hpp"

namespace mangolink::test
{

class prompt_work_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prompt_work_test);
    CPPUNIT_TEST(sent_prompts_delay_others_until_they_are_read);
    CPPUNIT_TEST(the_rate_is_measured);
    CPPUNIT_TEST(reports_are_bounded_and_decay);
    CPPUNIT_TEST(one_process_can_not_exaggerate);
    CPPUNIT_TEST_SUITE_END();

public:
    void sent_prompts_delay_others_until_they_are_read()
    {
        auto first = work_.add(1, {77, 6000, 3000}, false, {}, now_);
        CPPUNIT_ASSERT(work_.wait(1, now_) >= work_.read_time(9000));
        CPPUNIT_ASSERT(work_.wait(2, now_) == precise_milliseconds(0));
        section("the wait becomes shorter as the server reads",
                [&]
                {
                    const auto later = now_ + milliseconds(50);
                    CPPUNIT_ASSERT(work_.wait(1, later) < work_.wait(1, now_));
                });
        section(
            "but lasts while no event has come", [&]
            { CPPUNIT_ASSERT(work_.wait(1, now_ + seconds(3)).count() > 0); });
        now_ += milliseconds(180);
        work_.record_output(first, now_);
        section("and ends with the first event",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(0.0, work_.unread_tokens(now_));
                    CPPUNIT_ASSERT_EQUAL(1U, work_.running(1));
                });
        section("which shows that the prefix is cached there",
                [&]
                {
                    CPPUNIT_ASSERT(work_.is_cached(1, 77, now_));
                    CPPUNIT_ASSERT(!work_.is_cached(2, 77, now_));
                    const auto next =
                        work_.add(1, {77, 6000, 3000}, false, {}, now_);
                    CPPUNIT_ASSERT_EQUAL(3000.0, next.tokens);
                    work_.remove(next, now_);
                    CPPUNIT_ASSERT(!work_.is_cached(1, 77, now_ + seconds(60)));
                });
        work_.remove(first, now_);
        CPPUNIT_ASSERT_EQUAL(0U, work_.running(1));
    }

    void the_rate_is_measured()
    {
        for (int i = 0; i < 600; ++i)
        {
            const std::uint32_t tokens = 500 + i % 7 * 800;
            auto prompt = work_.add(1, {0, 0, tokens}, false, {}, now_);
            now_ += milliseconds(30 + tokens / 90);
            work_.record_output(prompt, now_);
            work_.remove(prompt, now_);
            now_ += milliseconds(500);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, work_.read_time(9000).count(), 15);
    }

    void reports_are_bounded_and_decay()
    {
        for (std::uint64_t i = 1; i <= 40; ++i)
        {
            const auto tokens = static_cast<std::uint32_t>(100 * i);
            work_.add(i, {0, 0, tokens}, false, {}, now_);
        }
        const auto report = work_.report(now_);
        CPPUNIT_ASSERT(report.size() < 40);
        CPPUNIT_ASSERT_EQUAL(4000U, report.front().tokens);
        prompt_work other;
        other.merge("g1", report, now_);
        const auto server = report.front().server;
        CPPUNIT_ASSERT(other.wait(server, now_) >= other.read_time(3999));
        section("a report decays at the rate of reading",
                [&]
                {
                    const auto later = now_ + milliseconds(20);
                    CPPUNIT_ASSERT(other.wait(server, later) <
                                   other.wait(server, now_));
                });
        section("a silent process counts for nothing soon",
                [&]
                {
                    const auto later = now_ + milliseconds(1100);
                    CPPUNIT_ASSERT(other.wait(server, later).count() == 0);
                });
        section("the next report replaces the last one",
                [&]
                {
                    other.merge("g1", {}, now_);
                    CPPUNIT_ASSERT(other.wait(server, now_).count() == 0);
                });
    }

    void one_process_can_not_exaggerate()
    {
        const auto report = [this](const std::string& author, unsigned factor)
        {
            std::vector<server_prompt_work> work;
            for (std::uint64_t server = 1; server <= 8; ++server)
            {
                work.push_back({server, 300 * factor});
            }
            work_.merge(author, work, now_);
        };
        for (int i = 0; i < 20; ++i)
        {
            for (const char* name : {"g1", "g2", "g3", "g4"})
            {
                report(name, 1);
            }
        }
        const auto honest = work_.wait(1, now_);
        report("g5", 1);
        const auto share = work_.wait(1, now_) - honest;
        report("g5", 10);
        section("a lie by a factor of ten counts half of that at most", [&]
                { CPPUNIT_ASSERT(work_.wait(1, now_) - honest < share * 5); });
        report("g5", 1'000'000);
        section("and so does a larger one", [&]
                { CPPUNIT_ASSERT(work_.wait(1, now_) - honest < share * 5); });
    }

private:
    boot_clock::time_point now_{std::chrono::hours(1)};
    prompt_work work_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_work_test);

} // namespace mangolink::test
