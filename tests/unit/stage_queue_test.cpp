#include "request/stage_queue.hpp"
#include "request/stage_router.hpp"
#include "support/section.hpp"

#include <random>

namespace mangolink::test
{
namespace
{

class recording_client final : public stage_client
{
public:
    bool wants_items() const override { return wanted; }
    void item_ended(stage_item, stage_item_answer) override {}

    bool wanted = true;
};

stage_pool_parameters parameters()
{
    stage_pool_parameters result;
    result.batch_size = 4;
    result.call_time = milliseconds(100);
    result.item_time = milliseconds(10);
    result.result_memory_bytes = 10'000;
    result.result_lifetime = milliseconds(4000);
    return result;
}

std::shared_ptr<stage_task> task(const std::shared_ptr<stage_client>& client,
                                 std::uint32_t item_count,
                                 boot_clock::time_point due,
                                 std::uint64_t bytes = 100)
{
    auto result = std::make_shared<stage_task>();
    result->client = client;
    for (std::uint32_t i = 0; i < item_count; ++i)
    {
        result->items.push_back(i);
    }
    result->due = due;
    result->deadline = due + milliseconds(5000);
    result->result_bytes = bytes;
    return result;
}

std::shared_ptr<const backend_server> server(const std::string& id,
                                             const std::string& zone)
{
    auto result = std::make_shared<backend_server>();
    result->id = id;
    result->zone = zone;
    return result;
}

} // namespace

class stage_queue_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_queue_test);
    CPPUNIT_TEST(items_are_batched_while_a_call_runs);
    CPPUNIT_TEST(items_that_can_meet_their_due_time_go_first);
    CPPUNIT_TEST(no_item_is_sent_without_free_memory);
    CPPUNIT_TEST(a_restarted_server_has_all_memory_free);
    CPPUNIT_TEST(memory_of_untracked_results_becomes_free);
    CPPUNIT_TEST(late_requests_yield_to_full_batches);
    CPPUNIT_TEST(failed_servers_are_ejected);
    CPPUNIT_TEST(a_silence_does_not_make_a_server_slow);
    CPPUNIT_TEST(a_burst_fills_calls_with_items_in_time);
    CPPUNIT_TEST(another_zone_is_chosen_only_at_lower_cost);
    CPPUNIT_TEST(servers_of_a_group_share_their_waiting_items);
    CPPUNIT_TEST(late_items_leave_a_full_group);
    CPPUNIT_TEST_SUITE_END();

public:
    void items_are_batched_while_a_call_runs()
    {
        stage_queue queue(parameters());
        queue.add(task(client_, 1, now_ + milliseconds(900)));
        section("an idle server receives a call immediately",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(1), begin(queue)); });
        for (int i = 0; i < 6; ++i)
        {
            queue.add(task(client_, 1, now_ + milliseconds(900)));
        }
        section("a busy server receives no call",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(0), begin(queue)); });
        queue.call_ended(1, 100, milliseconds(110), call_outcome::answered,
                         now_);
        section("the next call has a full batch",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(4), begin(queue)); });
        section("the load report shows the queued items",
                [&]
                {
                    const auto load_report = queue.load_report(now_);
                    CPPUNIT_ASSERT_EQUAL(2U, load_report.item_count);
                    CPPUNIT_ASSERT(load_report.busy >= milliseconds(100));
                });
    }

    void items_that_can_meet_their_due_time_go_first()
    {
        stage_queue queue(parameters());
        queue.add(task(client_, 2, now_ + milliseconds(50))); // cannot be met
        queue.add(task(client_, 2, now_ + milliseconds(800)));
        queue.add(task(client_, 2, now_ + milliseconds(400)));
        const auto batch = queue.begin_call(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), batch.size());
        CPPUNIT_ASSERT(batch[0].task->due == now_ + milliseconds(400));
        CPPUNIT_ASSERT(batch[2].task->due == now_ + milliseconds(800));
        section("late items stay queued until their deadline",
                [&]
                {
                    CPPUNIT_ASSERT(queue.remove_expired(now_).empty());
                    CPPUNIT_ASSERT_EQUAL(
                        std::size_t(2),
                        queue.remove_expired(now_ + milliseconds(5000)).size());
                });
        section("items without a waiting client are removed",
                [&]
                {
                    queue.add(task(client_, 3, now_ + milliseconds(800)));
                    client_->wanted = false;
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                                         queue.remove_expired(now_).size());
                });
    }

    void no_item_is_sent_without_free_memory()
    {
        stage_queue queue(parameters());
        queue.add(task(client_, 4, now_ + milliseconds(500), 4000));
        queue.add(task(client_, 1, now_ + milliseconds(900), 100));
        section("items that fit are sent, also smaller ones queued behind",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(3), begin(queue)); });
        queue.call_ended(3, 8100, milliseconds(130), call_outcome::answered,
                         now_);
        queue.memory().add_result("r1", 4000, now_);
        queue.memory().add_result("r2", 4000, now_);
        section("results occupy memory until they are released",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), begin(queue));
                    queue.memory().release("r1");
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), begin(queue));
                });
        section("or until they expire at the server",
                [&]
                {
                    queue.call_ended(1, 4000, milliseconds(110),
                                     call_outcome::answered, now_);
                    CPPUNIT_ASSERT_EQUAL(
                        std::uint64_t(10'000),
                        queue.memory().free(now_ + milliseconds(4001)));
                });
    }

    void a_restarted_server_has_all_memory_free()
    {
        result_memory memory(10'000, milliseconds(4000));
        memory.add_result("before", 6000, now_);
        memory.reserve(1000);
        memory.report_free(500, now_);
        memory.server_restarted();
        section(
            "memory reserved for a running call stays reserved", [&]
            { CPPUNIT_ASSERT_EQUAL(std::uint64_t(9000), memory.free(now_)); });
        section("releasing an earlier result frees nothing",
                [&]
                {
                    memory.release("before");
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9000),
                                         memory.free(now_));
                });
    }

    void memory_of_untracked_results_becomes_free()
    {
        result_memory memory(10'000, milliseconds(4000));
        memory.add_result("own", 1000, now_);
        memory.report_free(0, now_);
        section("a report of no free memory is respected", [&]
                { CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), memory.free(now_)); });
        section("untracked results expire over one lifetime",
                [&]
                {
                    const auto half = memory.free(now_ + milliseconds(2000));
                    CPPUNIT_ASSERT(half >= 4400 && half <= 4600);
                    CPPUNIT_ASSERT_EQUAL(
                        std::uint64_t(10'000),
                        memory.free(now_ + milliseconds(4000)));
                });
        section("a later report replaces the earlier one",
                [&]
                {
                    memory.report_free(8000, now_ + milliseconds(4000));
                    CPPUNIT_ASSERT_EQUAL(
                        std::uint64_t(8000),
                        memory.free(now_ + milliseconds(4000)));
                });
    }

    void late_requests_yield_to_full_batches()
    {
        stage_queue queue(parameters());
        const auto early = task(client_, 2, now_ - milliseconds(10));
        early->stages_after = 1;
        queue.add(early);
        queue.add(task(client_, 1, now_ - milliseconds(10)));
        section("late items are kept while there is no full batch",
                [&] { CPPUNIT_ASSERT(queue.remove_expired(now_).empty()); });
        queue.add(task(client_, 4, now_ + milliseconds(500)));
        section("those with stages left are removed",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         queue.remove_expired(now_).size());
                });
        section("one in its last stage stays queued",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(4), begin(queue));
                    CPPUNIT_ASSERT_EQUAL(1U,
                                         queue.load_report(now_).item_count);
                });
    }

    void failed_servers_are_ejected()
    {
        stage_queue queue(parameters());
        queue.add(task(client_, 1, now_ + milliseconds(900)));
        begin(queue);
        queue.call_ended(1, 100, milliseconds(500), call_outcome::shed, now_);
        const auto after_shed = queue.load_report(now_).ejected_for;
        queue.add(task(client_, 1, now_ + milliseconds(900)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), begin(queue));
        now_ += after_shed;
        begin(queue);
        queue.call_ended(1, 100, milliseconds(500), call_outcome::lost, now_);
        section("a lost call ejects the server for longer than a shed one",
                [&]
                {
                    CPPUNIT_ASSERT(queue.load_report(now_).ejected_for >
                                   after_shed);
                    CPPUNIT_ASSERT(after_shed > milliseconds(0));
                });
    }

    /// Arrivals are twice the capacity of the server. The items finished in
    /// time should come close to the throughput of full batches.
    void a_silence_does_not_make_a_server_slow()
    {
        stage_queue queue(parameters());
        const auto now = boot_clock::now();
        queue.call_ended(4, 0, milliseconds(1400), call_outcome::answered, now);
        CPPUNIT_ASSERT_EQUAL(1.0, queue.load_report(now).slowdown);
    }

    void a_burst_fills_calls_with_items_in_time()
    {
        stage_queue queue(parameters());
        std::mt19937 random(7);
        std::exponential_distribution<double> gap(1.0 / 16);
        auto next_arrival = now_;
        auto call_end_time = now_;
        std::vector<waiting_item> running;
        std::size_t in_time = 0;
        std::size_t late = 0;
        const auto end = now_ + milliseconds(10'000);
        for (; now_ < end; now_ += milliseconds(1))
        {
            while (next_arrival <= now_)
            {
                queue.add(task(client_, 1, now_ + milliseconds(600)));
                next_arrival += milliseconds(static_cast<int>(gap(random)));
                next_arrival += milliseconds(1);
            }
            if (!running.empty() && now_ >= call_end_time)
            {
                for (const auto& item : running)
                {
                    (now_ <= item.task->due ? in_time : late) += 1;
                }
                queue.call_ended(running.size(), running.size() * 100,
                                 milliseconds(100 + 10 * running.size()),
                                 call_outcome::answered, now_);
                running.clear();
            }
            queue.remove_expired(now_);
            if (running.empty())
            {
                running = queue.begin_call(now_);
                call_end_time = now_ + milliseconds(100 + 10 * running.size());
            }
        }
        // Calls of four items in 140 ms process 285 items in ten seconds.
        CPPUNIT_ASSERT(in_time + late >= 270);
        CPPUNIT_ASSERT(in_time >= 250);
    }

    void another_zone_is_chosen_only_at_lower_cost()
    {
        const std::vector<stage_router::server_pointer> servers{
            server("near", "z1"), server("far", "z2")};
        stage_router router({"g1", "z1", {"z1"}});
        stage_demand demand;
        demand.item_count = 2;
        demand.result_bytes = 100;
        const auto choice = [&]
        { return router.choose(servers, parameters(), demand, now_)->id; };
        const auto set_busy = [&](const std::string& id, int wait_ms)
        {
            server_load_report load_report;
            load_report.busy = milliseconds(wait_ms);
            load_report.free_bytes = 10'000;
            router.update_load_report(id, load_report, now_);
        };
        section("without load reports the near server is chosen",
                [&] { CPPUNIT_ASSERT_EQUAL(std::string("near"), choice()); });
        section("a short wait at the near server is accepted",
                [&]
                {
                    set_busy("near", 30);
                    CPPUNIT_ASSERT_EQUAL(std::string("near"), choice());
                });
        section("a long wait is not",
                [&]
                {
                    set_busy("near", 400);
                    CPPUNIT_ASSERT_EQUAL(std::string("far"), choice());
                });
        section("unless many bytes would be read across zones",
                [&]
                {
                    demand.inputs_in_zone["z1"] = 20'000'000;
                    CPPUNIT_ASSERT_EQUAL(std::string("near"), choice());
                    demand.inputs_in_zone.clear();
                });
        section("items sent since the last load report count",
                [&]
                {
                    set_busy("near", 0);
                    router.count_sent_items("near", 40);
                    CPPUNIT_ASSERT_EQUAL(std::string("far"), choice());
                });
        section("old load reports are ignored",
                [&]
                {
                    set_busy("near", 1500);
                    now_ += milliseconds(5000);
                    CPPUNIT_ASSERT_EQUAL(std::string("near"), choice());
                });
    }

    /// One server of two is slow or has no memory left, while items wait.
    void servers_of_a_group_share_their_waiting_items()
    {
        auto backlog = std::make_shared<stage_backlog>();
        stage_queue first(parameters(), backlog);
        stage_queue second(parameters(), std::move(backlog));
        first.add(task(client_, 6, now_ + milliseconds(900), 3000));
        section("a call holds what fits into the memory of its server",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(3), begin(first)); });
        section(
            "each server reports its share of the items", [&]
            { CPPUNIT_ASSERT_EQUAL(2U, first.load_report(now_).item_count); });
        section("another server makes the next call while the first is busy",
                [&]
                {
                    CPPUNIT_ASSERT(!first.can_begin_call(now_));
                    CPPUNIT_ASSERT(second.can_begin_call(now_));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3), begin(second));
                });
        section("a server that joins the group brings its items",
                [&]
                {
                    stage_queue third(parameters());
                    third.add(task(client_, 2, now_ + milliseconds(900)));
                    third.join_backlog(second.backlog());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2), begin(third));
                });
        section("items stay with the others when a server leaves",
                [&]
                {
                    second.add(task(client_, 1, now_ + milliseconds(900)));
                    second.leave_backlog();
                    CPPUNIT_ASSERT(!second.has_waiting_items());
                    CPPUNIT_ASSERT(first.has_waiting_items());
                });
    }

    /// More items than the next calls of all servers hold, many of them late.
    void late_items_leave_a_full_group()
    {
        auto backlog = std::make_shared<stage_backlog>();
        backlog->limits_late_items = true;
        stage_queue first(parameters(), backlog);
        stage_queue second(parameters(), std::move(backlog));
        first.add(task(client_, 5, now_ - milliseconds(10)));
        first.add(task(client_, 3, now_ + milliseconds(500)));
        section("late items stay while the next calls have places for them",
                [&] { CPPUNIT_ASSERT(first.remove_expired(now_).empty()); });
        first.add(task(client_, 2, now_ + milliseconds(500)));
        section("beyond that they leave, those in time do not",
                [&]
                {
                    const auto removed = first.remove_expired(now_);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2), removed.size());
                    CPPUNIT_ASSERT(removed[0].task->due < now_);
                });
        first.add(task(client_, 9, now_ + milliseconds(500)));
        section("items in time wait, however many",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                                         first.remove_expired(now_).size());
                    CPPUNIT_ASSERT(first.remove_expired(now_).empty());
                });
    }

private:
    std::size_t begin(stage_queue& queue)
    {
        return queue.begin_call(now_).size();
    }

    boot_clock::time_point now_{std::chrono::hours(1)};
    std::shared_ptr<recording_client> client_ =
        std::make_shared<recording_client>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_queue_test);

} // namespace mangolink::test
