#include "base/hash.hpp"
#include "process/backend_server.hpp"
#include "request/return_schedule.hpp"
#include "request/server_rate_limiter.hpp"
#include "support/section.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mangolink::test
{
namespace
{

using time_point = boot_clock::time_point;

constexpr milliseconds tick{10};
constexpr milliseconds answer_time{120};
constexpr milliseconds contact_time{4000};
constexpr milliseconds window{4000};

/// After the end of every simulation.
constexpr milliseconds never = std::chrono::hours(24);

/// Conditions of a simulated fleet.
struct fleet_settings final
{
    std::size_t gateways = 4;
    std::size_t servers = 18;
    std::size_t limited_servers = 18; ///< the first ones
    double limit = 2;
    double offered = 3;     ///< requests per server, as a multiple of the limit
    double first_share = 0; ///< of the requests, at the first gateway
    bool idle_periods = false; ///< 14 s of each 20 s without requests
    double lost_heartbeats = 0.1;
    milliseconds duration{30'000};
    milliseconds lifted = never;    ///< when the limits end
    milliseconds lowered = never;   ///< when they are halved
    milliseconds cut_begin = never; ///< of the fleet in halves
    milliseconds cut_end = never;
    milliseconds paused = never;    ///< first gateway, for 5 s
    milliseconds restarted = never; ///< half of the gateways
};

struct fleet_result final
{
    double worst = 0; ///< count in a window, as a multiple of what is allowed
    double used = 0;  ///< share of the limits, after the contact time
    std::size_t refused = 0;
    std::size_t sent_after_lift = 0; ///< from a second after it
};

/// Gateways that share the limits of servers and exchange heartbeats.
class simulated_fleet final
{
public:
    simulated_fleet(const fleet_settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed),
          heartbeat_interval_(std::max<std::int64_t>(
              150, static_cast<std::int64_t>(1000 * settings.gateways / 130)))
    {
        for (std::size_t i = 0; i < settings_.gateways; ++i)
        {
            gateways_.push_back(std::make_unique<gateway>());
            start(i);
        }
        for (std::size_t i = 0; i < settings_.servers; ++i)
        {
            backend_server server;
            server.id = absl::StrCat("s", i);
            server.service = "engine";
            server.started_ms = 7;
            servers_.push_back(server);
        }
        sends_.resize(settings_.servers);
    }

    fleet_result play()
    {
        std::poisson_distribution<int> arrivals(
            settings_.offered * settings_.limit *
            static_cast<double>(settings_.servers) *
            std::chrono::duration<double>(tick).count());
        const auto end = begin_ + settings_.duration;
        for (; now_ < end; now_ += tick)
        {
            apply_faults();
            deliver_answers();
            send_heartbeats();
            const bool idle = settings_.idle_periods &&
                              (now_ - begin_) % seconds(20) < seconds(14);
            for (int i = idle ? 0 : arrivals(random_); i > 0; --i)
            {
                request();
            }
        }
        return result();
    }

private:
    struct gateway final
    {
        std::unique_ptr<server_rate_limiter> limiter;
        std::vector<time_point> heard; ///< last heartbeat, by gateway
        time_point next_heartbeat;
        time_point next_update;
        std::uint64_t heartbeats = 0;
        bool paused = false;
    };
    struct pending_answer final
    {
        time_point at;
        time_point sent;
        std::size_t gateway = 0;
        std::size_t server = 0;
        double limit = 0;
    };

    static std::string name(std::size_t index)
    {
        return absl::StrCat("gateway-", index);
    }

    bool between(milliseconds from, milliseconds to) const
    {
        return now_ - begin_ >= from && now_ - begin_ < to;
    }

    bool is_cut(std::size_t a, std::size_t b) const
    {
        return between(settings_.cut_begin, settings_.cut_end) &&
               a % 2 != b % 2;
    }

    void start(std::size_t index)
    {
        auto& each = *gateways_[index];
        each.limiter = std::make_unique<server_rate_limiter>(name(index));
        each.heard.assign(settings_.gateways, time_point());
        each.next_heartbeat = now_ + tick * static_cast<int>(random_() % 30);
    }

    void apply_faults()
    {
        if (now_ - begin_ == settings_.restarted)
        {
            for (std::size_t i = 0; i < gateways_.size(); i += 2)
            {
                start(i);
            }
        }
        gateways_.front()->paused =
            settings_.paused != never &&
            between(settings_.paused, settings_.paused + seconds(5));
    }

    double limit_now(std::size_t server) const
    {
        if (server >= settings_.limited_servers ||
            now_ - begin_ >= settings_.lifted)
        {
            return no_rate_limit;
        }
        return now_ - begin_ >= settings_.lowered ? settings_.limit / 2
                                                  : settings_.limit;
    }

    void request()
    {
        std::bernoulli_distribution at_first(settings_.first_share);
        const std::size_t index =
            at_first(random_) ? 0 : random_() % gateways_.size();
        auto& each = *gateways_[index];
        if (each.paused ||
            (between(settings_.restarted, settings_.restarted + seconds(1)) &&
             index % 2 == 0))
        {
            return;
        }
        each.limiter->demand().count("engine");
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            if (each.limiter->may_send(servers_[i], sender_role::chosen, now_))
            {
                usable.push_back(i);
            }
        }
        std::vector<std::size_t> preferred;
        std::copy_if(
            usable.begin(), usable.end(), std::back_inserter(preferred),
            [this](std::size_t i) { return i < settings_.limited_servers; });
        usable = preferred.empty() ? usable : preferred;
        if (usable.empty())
        {
            ++refused_;
            return;
        }
        const auto server = usable[random_() % usable.size()];
        auto permit =
            each.limiter->acquire(servers_[server], sender_role::chosen, now_);
        CPPUNIT_ASSERT(permit);
        permit->use();
        sends_[server].push_back(now_);
        answers_.push_back(
            {now_ + answer_time, now_, index, server, limit_now(server)});
    }

    void deliver_answers()
    {
        while (!answers_.empty() && answers_.front().at <= now_)
        {
            const auto answer = answers_.front();
            answers_.pop_front();
            first_named_ = std::min(first_named_, answer.sent);
            gateways_[answer.gateway]->limiter->record_answer(
                servers_[answer.server], answer.limit, answer.sent, now_);
        }
    }

    void send_heartbeats()
    {
        std::bernoulli_distribution lost(settings_.lost_heartbeats);
        for (std::size_t from = 0; from < gateways_.size(); ++from)
        {
            auto& sender = *gateways_[from];
            if (sender.paused)
            {
                continue;
            }
            if (now_ >= sender.next_update)
            {
                update(from);
            }
            if (now_ < sender.next_heartbeat)
            {
                continue;
            }
            sender.next_heartbeat = now_ + heartbeat_interval_;
            const auto news = sender.limiter->limits().report(
                sender.heartbeats++ % 7 == 0, now_);
            for (std::size_t to = 0; to < gateways_.size(); ++to)
            {
                auto& receiver = *gateways_[to];
                if (to == from || receiver.paused || is_cut(from, to) ||
                    lost(random_))
                {
                    continue;
                }
                receiver.heard[from] = now_;
                for (const auto& each : news)
                {
                    receiver.limiter->merge(each);
                }
                receiver.limiter->shares().set_demand(
                    name(from), sender.limiter->demand().current());
            }
        }
    }

    void update(std::size_t index)
    {
        auto& each = *gateways_[index];
        each.next_update = now_ + milliseconds(250);
        std::vector<limit_process> alive{{name(index)}};
        for (std::size_t other = 0; other < gateways_.size(); ++other)
        {
            if (other != index &&
                now_ - each.heard[other] <
                    heartbeat_interval_ * 3 + milliseconds(450))
            {
                alive.push_back({name(other)});
            }
        }
        each.limiter->update(alive, now_);
    }

    fleet_result result() const
    {
        fleet_result total;
        total.refused = refused_;
        double sent = 0;
        double allowed = 0;
        const auto from = first_named_ + contact_time;
        for (std::size_t i = 0; i < settings_.limited_servers; ++i)
        {
            std::deque<time_point> inside;
            for (const auto at : sends_[i])
            {
                const bool lifted = at - begin_ >= settings_.lifted;
                total.sent_after_lift +=
                    lifted && at - begin_ >= settings_.lifted + seconds(1) ? 1
                                                                           : 0;
                if (at < from || lifted)
                {
                    continue;
                }
                inside.push_back(at);
                while (inside.front() <= at - window)
                {
                    inside.pop_front();
                }
                const bool lowered =
                    at - begin_ >= settings_.lowered + contact_time;
                const double limit =
                    lowered ? settings_.limit / 2 : settings_.limit;
                total.worst =
                    std::max(total.worst, static_cast<double>(inside.size()) /
                                              (6 * limit + 5));
                sent += 1;
            }
            const auto end = std::min(settings_.duration, settings_.lifted);
            const auto lowered =
                std::clamp(settings_.lowered, contact_time, end);
            allowed += settings_.limit *
                       std::chrono::duration<double>((lowered - contact_time) +
                                                     (end - lowered) / 2)
                           .count();
        }
        total.used = sent / allowed;
        return total;
    }

    fleet_settings settings_;
    std::mt19937_64 random_;
    milliseconds heartbeat_interval_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<backend_server> servers_;
    std::vector<std::vector<time_point>> sends_; ///< by server
    std::deque<pending_answer> answers_;
    std::size_t refused_ = 0;
    time_point first_named_ = time_point::max() - std::chrono::hours(1);
    time_point begin_{std::chrono::hours(1)};
    time_point now_ = begin_;
};

fleet_result play(const fleet_settings& settings, std::uint64_t seed = 1)
{
    return simulated_fleet(settings, seed).play();
}

} // namespace

/// Rate limits of servers, kept by processes that share no state.
class server_rate_limiter_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_rate_limiter_test);
    CPPUNIT_TEST(no_fleet_sends_more_than_a_server_takes);
    CPPUNIT_TEST(a_grown_fleet_uses_what_servers_take);
    CPPUNIT_TEST(cuts_restarts_and_pauses_exceed_no_limit);
    CPPUNIT_TEST(a_limit_that_falls_or_ends_takes_effect_soon);
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
        return_schedule schedule;
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
        return stable_hash(server.id, server.started_ms);
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
