#include "request/stage_queue.hpp"
#include "request/stage_router.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <random>

namespace mangolink::test
{
namespace
{

/// Client of a task that records when its last item was made.
class timed_client final : public stage_client
{
public:
    timed_client(std::size_t items, boot_clock::time_point arrival)
        : remaining(items), begin(arrival)
    {
    }
    bool wants_items() const override { return true; }
    void item_ended(stage_item, stage_item_answer) override { --remaining; }

    std::size_t remaining;
    boot_clock::time_point begin;
    boot_clock::time_point end = boot_clock::time_point::max();
};

/// Stage pool of one zone at a steady load, in steps of one millisecond. Tasks
/// are placed by one of several gateways, chosen at random.
class simulated_pool final
{
public:
    simulated_pool(std::size_t server_count, std::size_t gateway_count)
        : routers_(gateway_count, stage_router({"gateway", zone, {zone}}))
    {
        parameters_.batch_size = 38;
        parameters_.call_time = milliseconds(150);
        parameters_.item_time = microseconds(3400);
        parameters_.result_memory_bytes = 1'000'000;
        parameters_.result_lifetime = milliseconds(4000);
        for (std::size_t i = 0; i < server_count; ++i)
        {
            auto server = std::make_shared<backend_server>();
            server->id = "s" + std::to_string(i);
            server->zone = zone;
            servers_.push_back(server);
            queues_.emplace_back(parameters_);
            calls_.emplace_back();
        }
    }

    /// Plays the load with load reports of this age at most, and returns the
    /// share of tasks that took no longer than the objective.
    double play(double tasks_per_second, milliseconds report_interval,
                milliseconds objective)
    {
        constexpr int steps = 20'000;
        std::bernoulli_distribution arrives(tasks_per_second / 1000);
        for (int step = 0; step < steps; ++step, now_ += milliseconds(1))
        {
            if (step % report_interval.count() == 0)
            {
                report();
            }
            if (arrives(random_))
            {
                add_task();
            }
            run_calls();
        }
        return share_within(objective);
    }

private:
    struct running_call final
    {
        boot_clock::time_point end;
        std::vector<waiting_item> items;
    };

    void report()
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            const auto load_report = queues_[i].load_report(now_);
            for (auto& router : routers_)
            {
                router.update_load_report(servers_[i]->id, load_report, now_);
            }
        }
    }

    void add_task()
    {
        constexpr std::uint32_t items = 16;
        auto client = std::make_shared<timed_client>(items, now_);
        auto task = std::make_shared<stage_task>();
        task->client = client;
        for (std::uint32_t i = 0; i < items; ++i)
        {
            task->items.push_back(i);
        }
        task->due = now_ + milliseconds(2000);
        task->deadline = task->due;
        auto& router = routers_[random_() % routers_.size()];
        const auto chosen =
            router.choose(servers_, parameters_, {items, 0, {}, {}, {}}, now_);
        router.count_sent_items(chosen->id, items);
        const auto at = std::find(servers_.begin(), servers_.end(), chosen);
        queues_[static_cast<std::size_t>(at - servers_.begin())].add(task);
        clients_.push_back(std::move(client));
    }

    void run_calls()
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            auto& call = calls_[i];
            if (!call.items.empty() && call.end <= now_)
            {
                end_call(queues_[i], call);
            }
            if (call.items.empty())
            {
                call.items = queues_[i].begin_call(now_);
                call.end = now_ + duration(call.items.size());
            }
        }
    }

    void end_call(stage_queue& queue, running_call& call)
    {
        queue.call_ended(call.items.size(), 0, duration(call.items.size()),
                         call_outcome::answered, now_);
        for (const auto& item : call.items)
        {
            const auto client = item.task->client.lock();
            client->item_ended({}, {});
            auto& timed = static_cast<timed_client&>(*client);
            timed.end = timed.remaining == 0 ? now_ : timed.end;
        }
        call.items.clear();
    }

    milliseconds duration(std::size_t items) const
    {
        return std::chrono::duration_cast<milliseconds>(
            parameters_.call_time +
            parameters_.item_time * static_cast<std::int64_t>(items));
    }

    double share_within(milliseconds objective) const
    {
        const auto within =
            std::count_if(clients_.begin(), clients_.end(),
                          [&](const auto& client)
                          { return client->end <= client->begin + objective; });
        return static_cast<double>(within) /
               static_cast<double>(clients_.size());
    }

    static constexpr const char* zone = "zone-a";

    stage_pool_parameters parameters_;
    std::vector<stage_router> routers_;
    std::vector<stage_router::server_pointer> servers_;
    std::vector<stage_queue> queues_;
    std::vector<running_call> calls_;
    std::vector<std::shared_ptr<timed_client>> clients_;
    std::mt19937 random_{11};
    boot_clock::time_point now_{std::chrono::hours(1)};
};

} // namespace

/// Steady load of a zone's stage pool at which load reports decide whether
/// tasks wait behind a busy server while another one idles.
class stage_placement_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_placement_test);
    CPPUNIT_TEST(an_owner_with_exact_load_serves_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_owner_with_exact_load_serves_in_time()
    {
        constexpr double target_share = 0.95;
        // Two calls: one that runs at arrival, and the own.
        constexpr milliseconds objective{560};
        constexpr double tasks_per_second = 40; // 78 % of full batches
        constexpr std::size_t servers = 6;
        const auto share = [&](std::size_t gateways, milliseconds age)
        {
            return simulated_pool(servers, gateways)
                .play(tasks_per_second, age, objective);
        };
        section("the owner knows the load of all servers", [&]
                { CPPUNIT_ASSERT(share(1, milliseconds(1)) >= target_share); });
        section("twelve gateways with old load reports miss the target",
                [&] {
                    CPPUNIT_ASSERT(share(12, milliseconds(500)) < target_share);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_placement_test);

} // namespace mangolink::test
