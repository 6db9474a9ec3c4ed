#include "process/backend_server.hpp"
#include "request/retry_schedule.hpp"
#include "request/server_rate_limiter.hpp"
#include "support/section.hpp"
#include "unit/limited_fleet.hpp"

#include <absl/strings/str_cat.h>

#include <vector>

namespace mangolink::test
{
namespace
{

using time_point = boot_clock::time_point;

} // namespace

/// Rate limits of servers, kept by processes that share no state.
class server_rate_limiter_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_rate_limiter_test);
    CPPUNIT_TEST(no_fleet_sends_more_than_a_server_takes);
    CPPUNIT_TEST(a_grown_fleet_uses_what_servers_take);
    CPPUNIT_TEST(cuts_restarts_and_pauses_exceed_no_limit);
    CPPUNIT_TEST(a_limit_that_falls_or_ends_takes_effect_soon);
    CPPUNIT_TEST(a_fleet_sends_a_cold_server_what_it_takes);
    CPPUNIT_TEST(a_server_that_is_warm_again_has_no_limit);
    CPPUNIT_TEST(an_answer_that_overtakes_ends_no_limit);
    CPPUNIT_TEST(a_limit_belongs_to_one_start_of_a_server);
    CPPUNIT_TEST(a_server_that_takes_nothing_is_asked_rarely);
    CPPUNIT_TEST(only_sent_requests_use_permits_up);
    CPPUNIT_TEST(a_permit_that_is_announced_can_be_taken);
    CPPUNIT_TEST(the_state_is_bounded);
    CPPUNIT_TEST(refused_callers_come_back_one_after_the_other);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_fleet_sends_more_than_a_server_takes()
    {
        for (const double limit : {0.5, 2.0, 10.0})
        {
            auto fleet = small_fleet(limit);
            section("requests at all gateways", [&] { assert_kept(fleet); });
            fleet.lost_heartbeats = 0.5;
            section("half of the heartbeats lost", [&] { assert_kept(fleet); });
            fleet = small_fleet(limit);
            fleet.first_share = 1;
            section("requests at one gateway", [&] { assert_kept(fleet); });
            fleet = small_fleet(limit);
            fleet.idle_periods = true;
            fleet.duration = seconds(40);
            section("bursts after idle times",
                    [&] { assert_kept(fleet, unused); });
        }
    }

    void a_grown_fleet_uses_what_servers_take()
    {
        auto fleet = grown_fleet(23);
        section("23 gateways", [&] { assert_kept(fleet); });
        fleet.first_share = 0.7;
        section("most requests at one", [&] { assert_kept(fleet); });
        fleet.first_share = 0;
        fleet.limited_servers = 2;
        section("two servers limited", [&] { assert_kept(fleet); });
        fleet = grown_fleet(100);
        fleet.duration = seconds(15);
        section("100 gateways", [&] { assert_kept(fleet, 0.7); });
    }

    void cuts_restarts_and_pauses_exceed_no_limit()
    {
        for (const std::size_t gateways : {4, 23})
        {
            auto fleet = grown_fleet(gateways);
            fleet.cut_begin = seconds(8);
            fleet.cut_end = seconds(20);
            section("cut in halves", [&] { assert_kept(fleet); });
            fleet = grown_fleet(gateways);
            fleet.restarted = seconds(12);
            section("half of the gateways restarted",
                    [&] { assert_kept(fleet); });
            fleet = grown_fleet(gateways);
            fleet.paused = seconds(12);
            section("a gateway paused", [&] { assert_kept(fleet); });
        }
    }

    void a_limit_that_falls_or_ends_takes_effect_soon()
    {
        auto fleet = grown_fleet(23);
        fleet.limit = 4;
        fleet.lowered = seconds(12);
        section("lowered while buckets are full", [&] { assert_kept(fleet); });
        fleet = grown_fleet(23);
        fleet.lifted = seconds(15);
        const auto result = play(fleet);
        const double offered =
            fleet.limit * fleet.offered *
            static_cast<double>(fleet.limited_servers) *
            std::chrono::duration<double>(fleet.duration - fleet.lifted)
                .count();
        section("ended: all that is offered is sent again",
                [&]
                {
                    CPPUNIT_ASSERT(static_cast<double>(result.sent_after_lift) >
                                   0.85 * offered);
                });
    }

    void a_fleet_sends_a_cold_server_what_it_takes()
    {
        for (const std::size_t gateways : {4, 23, 100})
        {
            auto fleet = cold_fleet(gateways);
            const auto assert_cold_kept = [&fleet, gateways]
            {
                const auto result = play(fleet);
                CPPUNIT_ASSERT_MESSAGE(
                    absl::StrCat(gateways, " gateways: ", result.worst_second),
                    result.worst_second <= 1);
                return result;
            };
            section("all servers cold, all gateways told at once",
                    [&]
                    {
                        const auto result = assert_cold_kept();
                        CPPUNIT_ASSERT(result.refused > 0);
                        CPPUNIT_ASSERT_MESSAGE(
                            absl::StrCat(gateways, " use ", result.used),
                            result.used >= 0.8);
                    });
            section("half of the gateways restarted",
                    [&]
                    {
                        fleet.restarted = seconds(5);
                        assert_cold_kept();
                    });
            fleet = cold_fleet(gateways);
            section("cut in halves",
                    [&]
                    {
                        fleet.cut_begin = seconds(4);
                        fleet.cut_end = seconds(8);
                        assert_cold_kept();
                    });
            fleet = cold_fleet(gateways);
            section("at ordinary load, told within two seconds",
                    [&]
                    {
                        fleet.offered = 0.4;
                        fleet.cold_news_delay = seconds(2);
                        assert_cold_kept();
                    });
        }
    }

    void a_server_that_is_warm_again_has_no_limit()
    {
        server_rate_limiter limiter("g");
        limiter.set_cold_rates({{"engine", 2}});
        auto server = make_server(1);
        server.service = "engine";
        server.cold_until = now_ + seconds(8);
        const auto sent_at = [&](time_point at)
        {
            int sent = 0;
            while (sent < 100)
            {
                auto permit = limiter.acquire(server, sender_role::chosen, at);
                if (!permit)
                {
                    break;
                }
                permit->use();
                ++sent;
            }
            return sent;
        };
        section("cold: nothing at first, then the burst and no more",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(0, sent_at(now_));
                    limiter.update({{"g"}}, now_ + seconds(2));
                    CPPUNIT_ASSERT_EQUAL(0, sent_at(now_ + seconds(2)));
                    const int sent = sent_at(now_ + seconds(3));
                    CPPUNIT_ASSERT(sent >= 1 && sent <= 3);
                });
        section("the owner of a cold stage server is its sender",
                [&]
                {
                    server_rate_limiter owner("g");
                    owner.set_cold_rates({{"engine", 20}});
                    std::vector<limit_process> alive{{"g"}};
                    for (int i = 0; i < 30; ++i)
                    {
                        alive.push_back({absl::StrCat("other-", i)});
                    }
                    owner.update(alive, now_);
                    const auto share = owner.share_of(
                        server, sender_role::owner, now_ + seconds(3));
                    CPPUNIT_ASSERT(share.per_second > 10);
                });
        section("a cold server of a service without a rate has no limit",
                [&]
                {
                    auto other = server;
                    other.service = "desk";
                    CPPUNIT_ASSERT(limiter.may_send(other, sender_role::chosen,
                                                    now_ + seconds(1)));
                    CPPUNIT_ASSERT(!limiter.limit_of(other));
                });
        section("warm: all",
                [&] { CPPUNIT_ASSERT_EQUAL(100, sent_at(now_ + seconds(9))); });
    }

    void an_answer_that_overtakes_ends_no_limit()
    {
        server_rate_limiter limiter("g");
        const auto server = make_server(1);
        const auto sent = now_;
        limiter.record_answer(server, 2, sent, now_ + milliseconds(100));
        section("the answer was made before the limit was named",
                [&]
                {
                    limiter.record_answer(server, no_rate_limit, sent,
                                          now_ + milliseconds(300));
                    CPPUNIT_ASSERT(limiter.limit_of(server) == 2.0);
                });
        section(
            "news of others older than it",
            [&]
            {
                limiter.merge({start_hash(server), no_rate_limit,
                               now_ + milliseconds(50)});
                limiter.merge({start_hash(server), 7, now_ + milliseconds(50)});
                CPPUNIT_ASSERT(limiter.limit_of(server) == 2.0);
            });
        section("the next request is answered without one",
                [&]
                {
                    const auto later = now_ + milliseconds(400);
                    CPPUNIT_ASSERT(limiter.record_answer(server, no_rate_limit,
                                                         later, later) ==
                                   server_limit_change::ended);
                    limiter.merge(
                        {start_hash(server), 2, now_ + milliseconds(350)});
                    CPPUNIT_ASSERT(!limiter.limit_of(server));
                });
    }

    void a_limit_belongs_to_one_start_of_a_server()
    {
        server_rate_limiter limiter("g");
        limiter.record_answer(make_server(1), 2, now_, now_);
        CPPUNIT_ASSERT(limiter.limit_of(make_server(1)) == 2.0);
        CPPUNIT_ASSERT(!limiter.limit_of(make_server(2)));
    }

    void a_server_that_takes_nothing_is_asked_rarely()
    {
        server_rate_limiter limiter("g");
        const auto server = make_server(1);
        limiter.record_answer(server, 0, now_, now_);
        std::size_t sent = 0;
        for (int i = 0; i < 600; ++i)
        {
            now_ += milliseconds(100);
            if (auto permit =
                    limiter.acquire(server, sender_role::chosen, now_))
            {
                permit->use();
                ++sent;
            }
        }
        CPPUNIT_ASSERT(sent >= 4 && sent <= 6);
    }

    void only_sent_requests_use_permits_up()
    {
        server_rate_limiter limiter("g");
        const auto server = make_server(1);
        limiter.record_answer(server, 1, now_, now_);
        const auto may_send = [&]
        { return limiter.may_send(server, sender_role::chosen, now_); };
        CPPUNIT_ASSERT(!may_send());
        advance(limiter, milliseconds(1100));
        section("a permit that is not used is given back",
                [&]
                {
                    {
                        const auto permit =
                            limiter.acquire(server, sender_role::chosen, now_);
                        CPPUNIT_ASSERT(permit && !may_send());
                    }
                    CPPUNIT_ASSERT(may_send());
                });
        section("a used one is not",
                [&]
                {
                    limiter.acquire(server, sender_role::chosen, now_)->use();
                    CPPUNIT_ASSERT(!may_send());
                    CPPUNIT_ASSERT(
                        limiter.time_until_permit(server, sender_role::chosen,
                                                  now_) <= seconds(1));
                });
        section("a suspended process has saved up none",
                [&]
                {
                    now_ += seconds(20);
                    CPPUNIT_ASSERT(!may_send());
                });
    }

    void a_permit_that_is_announced_can_be_taken()
    {
        // Of 16 servers the other process gets some when it joins.
        server_rate_limiter limiter("g");
        std::vector<backend_server> servers;
        for (std::uint64_t start = 1; start <= 16; ++start)
        {
            servers.push_back(make_server(start));
            limiter.record_answer(servers.back(), 2, now_, now_);
            limiter.may_send(servers.back(), sender_role::chosen, now_);
        }
        advance(limiter, seconds(3));
        limiter.update({{"g"}, {"other"}}, now_);
        std::size_t lost = 0;
        for (const auto& server : servers)
        {
            const bool announced =
                limiter.may_send(server, sender_role::chosen, now_);
            const auto permit =
                limiter.acquire(server, sender_role::chosen, now_);
            CPPUNIT_ASSERT_EQUAL(announced, permit.has_value());
            lost += announced ? 0 : 1;
        }
        CPPUNIT_ASSERT(lost > 0 && lost < servers.size());
    }

    void the_state_is_bounded()
    {
        server_limit_table table;
        for (std::uint64_t start = 1; start <= 10'000; ++start)
        {
            table.add({start, 2, now_ + milliseconds(start)}, false);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4096), table.limited());
        CPPUNIT_ASSERT(table.find(10'000) && !table.find(1));
        section("a message, too",
                [&] { CPPUNIT_ASSERT(table.report(true, now_).size() <= 64); });
        section("what nobody names any more expires",
                [&]
                {
                    table.expire(now_ + std::chrono::hours(1));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.limited());
                });
    }

    void refused_callers_come_back_one_after_the_other()
    {
        retry_schedule schedule;
        const auto next = [&]
        { return schedule.next_delay(milliseconds(200), 2, now_); };
        CPPUNIT_ASSERT(next() == milliseconds(200));
        CPPUNIT_ASSERT(next() == milliseconds(700));
        CPPUNIT_ASSERT(next() == milliseconds(1200));
        section("never later than is of use",
                [&]
                {
                    for (int i = 0; i < 1000; ++i)
                    {
                        CPPUNIT_ASSERT(next() <= milliseconds(10'200));
                    }
                });
        section("from the beginning after a pause",
                [&]
                {
                    now_ += seconds(60);
                    CPPUNIT_ASSERT(next() == milliseconds(200));
                });
    }

private:
    /// For fleets that are idle at times.
    static constexpr double unused = 0;

    static fleet_settings small_fleet(double limit)
    {
        fleet_settings fleet;
        fleet.limit = limit;
        return fleet;
    }

    static fleet_settings grown_fleet(std::size_t gateways)
    {
        fleet_settings fleet;
        fleet.gateways = gateways;
        fleet.servers = gateways == 4 ? 18 : 52;
        fleet.limited_servers = fleet.servers;
        return fleet;
    }

    /// Cold servers that are asked for three times what they take.
    static fleet_settings cold_fleet(std::size_t gateways)
    {
        auto fleet = grown_fleet(gateways);
        fleet.limit = 17;
        fleet.cold_news_delay = milliseconds(0);
        fleet.duration = seconds(10);
        return fleet;
    }

    static void assert_kept(const fleet_settings& fleet, double min_used = 0.8)
    {
        const auto result = play(fleet);
        const auto text =
            absl::StrCat("limit ", fleet.limit, ": ", result.worst,
                         " of what is allowed, ", result.used, " used");
        CPPUNIT_ASSERT_MESSAGE(text, result.worst <= 1);
        CPPUNIT_ASSERT_MESSAGE(text, result.used >= min_used);
    }

    static backend_server make_server(std::uint64_t started_ms)
    {
        backend_server server;
        server.id = "s";
        server.service = "engine";
        server.started_ms = started_ms;
        return server;
    }

    static std::uint64_t start_hash(const backend_server& server)
    {
        return server.start_hash();
    }

    /// Lets time pass in steps in which a process is not taken for suspended.
    void advance(server_rate_limiter& limiter, milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end)
        {
            now_ += milliseconds(100);
            limiter.update({{"g"}}, now_);
        }
    }

    time_point now_ = time_point() + std::chrono::hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_rate_limiter_test);

} // namespace mangolink::test
