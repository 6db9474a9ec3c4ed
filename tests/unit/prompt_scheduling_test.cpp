#include "request/direct_balancer.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <tuple>

namespace mangolink::test
{
namespace
{

using server_pointer = direct_balancer::server_pointer;

server_pointer server(const std::string& id, const std::string& zone)
{
    auto result = std::make_shared<backend_server>();
    result->id = id;
    result->zone = zone;
    result->slots = 64;
    return result;
}

enum class fault : std::uint8_t
{
    none,
    silent_processes, ///< three tell nothing
    lying_processes,  ///< three tell ten times their work
    restart           ///< of all processes, which forget everything
};

/// Gateways that send long, middling and short prompts to servers, which read
/// them in turn. Time advances in milliseconds.
class play final
{
public:
    struct outcome final
    {
        int prompts = 0;
        int on_time = 0;
        double share() const { return double(on_time) / std::max(1, prompts); }
    };

    play(bool weighs_prompts, fault kind)
        : weighs_prompts_(weighs_prompts), fault_(kind)
    {
        for (int i = 0; i < server_count; ++i)
        {
            const std::string zone(1, "ab"[i % 2]);
            servers_.push_back(server("s" + std::to_string(i), zone));
        }
        states_.resize(server_count);
        for (int i = 0; i < gateway_count; ++i)
        {
            add_gateway(i);
        }
    }

    void run()
    {
        for (time_ = 0; time_ < play_ms; ++time_)
        {
            if (fault_ == fault::restart && time_ == play_ms / 2)
            {
                gateways_.clear();
                sent_.clear();
                told_.clear();
                for (int i = 0; i < gateway_count; ++i)
                {
                    add_gateway(i);
                }
            }
            exchange_reports();
            tell_prompts();
            deliver_outputs();
            arrive(0, 40, 6300, 2890, 300);
            arrive(1, 45, 568, 1800, 150);
            arrive(2, 30, 172, 543, 800);
        }
        for (auto& [due, request] : sent_)
        {
            count(request, !request.paused && due <= time_);
        }
    }

    outcome kind(int index) const { return kinds_[index]; }
    outcome largest() const { return largest_; }
    int busiest_after_restart() const
    {
        return *std::max_element(std::begin(sends_after_restart_),
                                 std::end(sends_after_restart_));
    }
    int sends_after_restart() const
    {
        int sum = 0;
        for (const int sends : sends_after_restart_)
        {
            sum += sends;
        }
        return sum;
    }

private:
    static constexpr int server_count = 8;
    static constexpr int gateway_count = 12;
    static constexpr int play_ms = 24'000;
    static constexpr int warm_up_ms = 4'000;
    static constexpr int report_interval_ms = 150;
    static constexpr int way_ms = 13;
    static constexpr std::size_t faulty_count = 3;
    static constexpr double tokens_per_ms = 57;
    static constexpr int wait_limit_ms = 400;
    static constexpr int pause_limit_ms = 400;

    struct request_state final
    {
        int kind = 0;
        int size_step = 0;
        int begun = 0;
        int stream_end = 0;
        std::size_t server = 0;
        std::size_t gateway = 0;
        sent_prompt prompt;
        bool has_output = false;
        bool paused = false;
    };
    struct server_state final
    {
        double free_at = 0;
        std::set<std::uint64_t> cached;
    };

    boot_clock::time_point now() const
    {
        return boot_clock::time_point(std::chrono::hours(1)) +
               milliseconds(time_);
    }

    void add_gateway(int index)
    {
        const std::string zone(1, "ab"[index % 2]);
        gateways_.push_back(std::make_unique<direct_balancer>(
            placement{"g" + std::to_string(index), zone, {"a", "b"}}));
    }

    /// Tells others of the prompts that were sent a moment ago.
    void tell_prompts()
    {
        for (; !told_.empty() && std::get<0>(told_.front()) <= time_;
             told_.pop_front())
        {
            auto [due, author, work] = told_.front();
            const bool silent =
                author < faulty_count && fault_ == fault::silent_processes;
            work.tokens *=
                author < faulty_count && fault_ == fault::lying_processes ? 10
                                                                          : 1;
            for (std::size_t j = 0; j < gateways_.size() && !silent; ++j)
            {
                if (j != author)
                {
                    gateways_[j]->prompts().add_reported(
                        "g" + std::to_string(author), work, now());
                }
            }
        }
    }

    void exchange_reports()
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i)
        {
            if ((time_ + static_cast<int>(i) * 37) % report_interval_ms != 0 ||
                (i < faulty_count && fault_ == fault::silent_processes))
            {
                continue;
            }
            gateways_[i]->prompts().expire(now());
            auto report = gateways_[i]->prompts().report(now());
            for (auto& entry : report)
            {
                entry.tokens *=
                    i < faulty_count && fault_ == fault::lying_processes ? 10
                                                                         : 1;
            }
            for (std::size_t j = 0; j < gateways_.size(); ++j)
            {
                if (i != j)
                {
                    gateways_[j]->prompts().merge("g" + std::to_string(i),
                                                  report, now());
                }
            }
        }
    }

    void deliver_outputs()
    {
        for (auto next = sent_.begin();
             next != sent_.end() && next->first <= time_;)
        {
            request_state request = next->second;
            next = sent_.erase(next);
            auto& gateway = *gateways_[request.gateway];
            if (!request.has_output)
            {
                request.has_output = true;
                gateway.prompts().record_output(request.prompt, now());
                const bool late = time_ - request.begun > wait_limit_ms;
                request.paused = late;
                sent_.emplace(time_ + request.stream_end, request);
                continue;
            }
            gateway.prompts().remove(request.prompt, now());
            gateway.send_ended(servers_[request.server]->id,
                               send_outcome::served, milliseconds(50), now());
            count(request, !request.paused);
        }
    }

    void arrive(int kind, int per_second, std::uint32_t shared,
                std::uint32_t own, int stream_ms)
    {
        if (random_() % 1000 >= static_cast<std::uint64_t>(per_second))
        {
            return;
        }
        static constexpr double sizes[] = {0.4, 0.5, 0.6, 0.7, 0.8,
                                           0.9, 1,   1.1, 1.4, 2.6};
        request_state request;
        request.kind = kind;
        request.size_step = static_cast<int>(random_() % 10);
        request.begun = time_;
        request.stream_end = stream_ms;
        request.gateway = random_() % gateways_.size();
        auto& gateway = *gateways_[request.gateway];
        server_preferences preferences;
        // The first prefixes are asked for more often.
        const std::uint64_t subject = random_() % 40 * (random_() % 40) / 40;
        preferences.affinity = 1000 * (kind + 1) + subject;
        preferences.shared_tokens = shared;
        preferences.own_tokens =
            static_cast<std::uint32_t>(own * sizes[request.size_step]);
        preferences.bytes = shared + preferences.own_tokens;
        preferences.max_pause = milliseconds(pause_limit_ms);
        preferences.weighs_prompts = weighs_prompts_;
        const auto chosen = gateway.choose(servers_, preferences, now());
        gateway.send_started(chosen->id);
        if (weighs_prompts_)
        {
            request.prompt = gateway.prompt_sent(*chosen, preferences, now());
            told_.emplace_back(time_ + way_ms, request.gateway,
                               server_prompt_work{request.prompt.server,
                                                  static_cast<std::uint32_t>(
                                                      request.prompt.tokens)});
        }
        request.server = static_cast<std::size_t>(
            std::find(servers_.begin(), servers_.end(), chosen) -
            servers_.begin());
        if (time_ >= play_ms / 2 && time_ < play_ms / 2 + 500)
        {
            ++sends_after_restart_[request.server];
        }
        auto& state = states_[request.server];
        const bool cached = !state.cached.insert(preferences.affinity).second;
        const double tokens = preferences.own_tokens + (cached ? 0.0 : shared);
        state.free_at =
            std::max<double>(state.free_at, time_) + tokens / tokens_per_ms;
        pause_streams(request.server, state.free_at - time_);
        sent_.emplace(static_cast<int>(state.free_at) + 20, request);
    }

    void pause_streams(std::size_t index, double busy_ms)
    {
        for (auto& [due, request] : sent_)
        {
            if (request.server == index && request.has_output &&
                std::min<double>(busy_ms, due - time_) > pause_limit_ms)
            {
                request.paused = true;
            }
        }
    }

    void count(const request_state& request, bool on_time)
    {
        if (request.begun < warm_up_ms)
        {
            return;
        }
        ++kinds_[request.kind].prompts;
        kinds_[request.kind].on_time += on_time;
        if (request.size_step == 9)
        {
            ++largest_.prompts;
            largest_.on_time += on_time;
        }
    }

    bool weighs_prompts_;
    fault fault_;
    int time_ = 0;
    std::mt19937_64 random_{11};
    std::vector<server_pointer> servers_;
    std::vector<server_state> states_;
    std::vector<std::unique_ptr<direct_balancer>> gateways_;
    std::multimap<int, request_state> sent_; ///< by the time of the next change
    std::deque<std::tuple<int, std::size_t, server_prompt_work>> told_;
    outcome kinds_[3];
    outcome largest_;
    int sends_after_restart_[server_count] = {};
};

/// Shares of callers who get their first event and all others in time.
constexpr double target_share = 0.95;
constexpr double target_share_of_largest = 0.9;

void check_targets(const play& played)
{
    for (const int kind : {0, 1, 2})
    {
        CPPUNIT_ASSERT(played.kind(kind).share() >= target_share);
    }
    CPPUNIT_ASSERT(played.largest().share() >= target_share_of_largest);
}

void print(const char* name, const play& played)
{
    std::cout << name << ": on time " << played.kind(0).share() << " long, "
              << played.kind(1).share() << " middling, "
              << played.kind(2).share() << " short, "
              << played.largest().share() << " of the largest tenth; "
              << played.busiest_after_restart() << " of "
              << played.sends_after_restart() << " sends to one server\n";
}

} // namespace

class prompt_scheduling_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prompt_scheduling_test);
    CPPUNIT_TEST(long_and_short_prompts_share_servers);
    CPPUNIT_TEST(a_restart_of_all_processes_is_no_herd);
    CPPUNIT_TEST(processes_that_are_silent_or_lie_do_little_harm);
    CPPUNIT_TEST(a_choice_among_many_servers_is_quick);
    CPPUNIT_TEST_SUITE_END();

public:
    void long_and_short_prompts_share_servers()
    {
        play blind(false, fault::none);
        blind.run();
        print("without weighing", blind);
        play weighed(true, fault::none);
        weighed.run();
        print("with weighing", weighed);
        section("both kinds and the largest prompts meet their aims",
                [&] { check_targets(weighed); });
        section("which both kinds miss when the prompts are not weighed",
                [&]
                {
                    CPPUNIT_ASSERT(blind.kind(0).share() < target_share);
                    CPPUNIT_ASSERT(blind.kind(2).share() < target_share);
                });
    }

    void a_restart_of_all_processes_is_no_herd()
    {
        play played(true, fault::restart);
        played.run();
        print("restart of all", played);
        CPPUNIT_ASSERT(played.busiest_after_restart() * 3 <
                       played.sends_after_restart());
        check_targets(played);
    }

    void processes_that_are_silent_or_lie_do_little_harm()
    {
        for (const fault kind :
             {fault::silent_processes, fault::lying_processes})
        {
            play played(true, kind);
            played.run();
            print(kind == fault::silent_processes ? "three silent"
                                                  : "three lie",
                  played);
            check_targets(played);
        }
    }

    void a_choice_among_many_servers_is_quick()
    {
        std::vector<server_pointer> servers;
        servers.reserve(720);
        for (int i = 0; i < 720; ++i)
        {
            servers.push_back(server("i-" + std::to_string(1000003 * i),
                                     "zone-" + std::to_string(i % 6)));
        }
        direct_balancer balancer({"g", "zone-0", {"zone-0", "zone-1"}});
        boot_clock::time_point now{std::chrono::hours(1)};
        std::vector<microseconds::rep> times;
        for (int i = 0; i < 4000; ++i)
        {
            now += milliseconds(1);
            server_preferences preferences;
            preferences.affinity = static_cast<std::uint64_t>(i) % 200 + 1;
            preferences.shared_tokens = 3000;
            preferences.own_tokens = 2000;
            preferences.max_pause = milliseconds(400);
            preferences.weighs_prompts = true;
            const auto start = std::chrono::steady_clock::now();
            const auto chosen = balancer.choose(servers, preferences, now);
            times.push_back(
                std::chrono::duration_cast<std::chrono::nanoseconds>(
                    std::chrono::steady_clock::now() - start)
                    .count());
            auto prompt = balancer.prompt_sent(*chosen, preferences, now);
            balancer.prompts().record_output(prompt, now + milliseconds(90));
        }
        std::sort(times.begin(), times.end());
        std::cout << "choice among 720 servers: p50 " << times[2000] / 1000.0
                  << " us, p99 " << times[3960] / 1000.0 << " us\n";
        // Far above what is expected, for machines under load.
        CPPUNIT_ASSERT(times[2000] < 1'000'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_scheduling_test);

} // namespace mangolink::test
