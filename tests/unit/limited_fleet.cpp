#include "unit/limited_fleet.hpp"

#include "process/backend_server.hpp"
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

/// A cold server takes this many requests in a second.
double cold_allowance(double limit)
{
    return 1.5 * limit + 5;
}

/// Returns the highest number of times within a second.
std::size_t busiest_second(const std::vector<time_point>& times)
{
    std::size_t busiest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last)
    {
        while (times[first] <= times[last] - seconds(1))
        {
            ++first;
        }
        busiest = std::max(busiest, last - first + 1);
    }
    return busiest;
}

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
        milliseconds news_delay{0}; ///< of the platform
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

    bool is_cold() const { return settings_.cold_news_delay != never; }

    /// Returns a server as a gateway knows it.
    backend_server known(std::size_t server, const gateway& by) const
    {
        auto result = servers_[server];
        if (is_cold() && server < settings_.limited_servers &&
            now_ - begin_ >= by.news_delay)
        {
            result.cold_until = begin_ + settings_.duration;
        }
        return result;
    }

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
        if (is_cold())
        {
            each.limiter->set_cold_rates({{"engine", settings_.limit}});
            each.news_delay = settings_.cold_news_delay *
                              static_cast<int>(random_() % 100) / 100;
        }
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
        if (is_cold() || server >= settings_.limited_servers ||
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
            if (each.limiter->may_send(known(i, each), sender_role::chosen,
                                       now_))
            {
                usable.push_back(i);
            }
        }
        std::vector<std::size_t> preferred;
        std::copy_if(
            usable.begin(), usable.end(), std::back_inserter(preferred),
            [this](std::size_t i) { return i < settings_.limited_servers; });
        usable = preferred.empty() || is_cold() ? usable : preferred;
        if (usable.empty())
        {
            ++refused_;
            return;
        }
        const auto server = usable[random_() % usable.size()];
        auto permit = each.limiter->acquire(known(server, each),
                                            sender_role::chosen, now_);
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
            first_named_ =
                std::min(first_named_, is_cold() ? begin_ : answer.sent);
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
            total.worst_second =
                std::max(total.worst_second,
                         static_cast<double>(busiest_second(sends_[i])) /
                             cold_allowance(settings_.limit));
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

} // namespace

fleet_result play(const fleet_settings& settings, std::uint64_t seed)
{
    return simulated_fleet(settings, seed).play();
}

} // namespace mangolink::test
