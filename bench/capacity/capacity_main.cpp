#include "base/log.hpp"
#include "capacity/synthetic_configuration.hpp"
#include "request/run_result.hpp"
#include "request/stage_codec.hpp"
#include "roles/entry_core.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"
#include "version/reader_schedule.hpp"
#include "wire/mangolink.pb.h"

#include <absl/random/random.h>
#include <absl/strings/str_format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <queue>

namespace
{

using namespace mangolink;
using namespace mangolink::bench;
using nlohmann::json;

constexpr std::array sizes{synthetic_size{72, 130}, synthetic_size{240, 430},
                           synthetic_size{720, 1300}};

std::size_t heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Runs an action repeatedly; returns the mean time of one call.
template <class Action>
double nanoseconds_per_call(std::size_t times, Action action)
{
    const auto begin = boot_clock::now();
    for (std::size_t i = 0; i < times; ++i)
    {
        action(i);
    }
    const std::chrono::duration<double, std::nano> spent =
        boot_clock::now() - begin;
    return spent.count() / static_cast<double>(times);
}

std::string snapshot_document(const synthetic_size& size)
{
    return json{{"number", 1}, {"value", synthetic_configuration(size)}}.dump();
}

std::string patch_document(std::uint64_t base)
{
    return json{{"base", base},
                {"number", base + 1},
                {"author", "capacity"},
                {"changes",
                 {{{"op", "replace"},
                   {"path", "/customers/customer-7/share"},
                   {"value", base % 100 + 1}}}}}
        .dump();
}

/// Collects the messages to the agents so that the fixture can answer them.
class fake_agents final : public entry_actions
{
public:
    bool send(member_id to, wire::envelope& message) override
    {
        sent_bytes += message.ByteSizeLong();
        ++sent;
        if (keep_messages)
        {
            waiting.emplace_back(to, message);
        }
        return true;
    }
    void deliver(const request_id&, std::string_view) override {}
    void finish(const request_id&, run_result result) override
    {
        complete += result.code == result_code::complete ? 1 : 0;
        ++ended;
    }
    void connect(member_id, const std::string&) override { ++links; }
    void disconnect(member_id, const std::string&) override {}

    std::vector<std::pair<member_id, wire::envelope>> waiting;
    bool keep_messages = true;
    std::size_t sent = 0;
    std::size_t sent_bytes = 0;
    std::size_t ended = 0;
    std::size_t complete = 0;
    std::size_t links = 0;
};

wire::envelope agent_reply(const wire::envelope& request)
{
    wire::envelope reply;
    reply.set_schema(1);
    reply.set_sender(42);
    wire::load_report* load = nullptr;
    if (request.has_submit())
    {
        wire::finished& finished = *reply.mutable_finished();
        finished.mutable_ref()->set_request_id(request.submit().request_id());
        finished.mutable_ref()->set_stage(request.submit().stage());
        finished.mutable_ref()->set_attempt(request.submit().attempt());
        finished.set_code(1000);
        finished.set_service_us(2000);
        constexpr const char* bodies[] = {
            R"({"data":[{"embedding":[0.1,0.2,0.3,0.4]}]})",
            R"({"documents":["a passage","another passage"]})",
            R"({"documents":["a passage","another passage"]})", ""};
        finished.set_body(bodies[request.submit().stage()]);
        load = finished.mutable_load();
    }
    else
    {
        load = reply.mutable_heartbeat()->mutable_load();
    }
    load->set_limit(32);
    load->set_service_time_us(2000);
    load->set_state(1);
    return reply;
}

/// Decision core of an entry with a synthetic configuration.
struct entry_fixture final
{
    explicit entry_fixture(const synthetic_size& size) : store(trail)
    {
        settings.members.instance = "entry-0";
        settings.members.zone = "zone-0";
        settings.members.region = "region-0";
        settings.executor.max_runs = 1'000'000;
        core = std::make_unique<entry_core>(settings, incarnation(7), store,
                                            random, agents);
        store.accept_snapshot(snapshot_document(size));
        core->configuration_changed();
        now = boot_clock::now();
        core->on_time(now);
        answer_all();
    }

    void answer_all()
    {
        while (!agents.waiting.empty())
        {
            auto batch = std::move(agents.waiting);
            agents.waiting.clear();
            for (auto& [to, message] : batch)
            {
                wire::envelope reply = agent_reply(message);
                core->on_message(to, reply, now);
            }
        }
    }

    run_request request(std::size_t serial)
    {
        run_request run;
        run.version = store.current();
        run.id = request_id::random(random);
        run.selected_pipeline = run.version->find_pipeline(
            "pipeline-" + std::to_string(serial % 14));
        run.requesting_customer = run.version->find_customer(
            "customer-" + std::to_string(serial % 130));
        run.context = *read_caller_body(
            stage_kind::encode, R"({"input":"a question","max_tokens":16})");
        run.deadline = now + std::chrono::seconds(3);
        return run;
    }

    audit_trail trail;
    configuration_store store;
    absl::BitGen random;
    fake_agents agents;
    entry_core_settings settings;
    std::unique_ptr<entry_core> core;
    boot_clock::time_point now;
};

void measure_routing()
{
    std::cout << "\nRouting: one choice from a subset, bytes of an entry's "
                 "state\n";
    for (const auto& size : sizes)
    {
        const std::size_t before = heap_bytes();
        entry_fixture entry(size);
        const std::size_t state = heap_bytes() - before;
        const auto* pool = entry.store.current()->find_pool("engines-0");
        const auto index = static_cast<std::uint32_t>(
            pool - entry.store.current()->pools().data());
        auto& selector = const_cast<backend_selector&>(entry.core->selector());
        std::size_t found = 0;
        const double each = nanoseconds_per_call(
            200'000,
            [&](std::size_t) {
                found += selector.select(index, {}, milliseconds(20), entry.now)
                             ? 1
                             : 0;
            });
        std::cout << absl::StrFormat(
            "  %4d engines %5d customers: %7.0f ns per choice, %4d members, "
            "%8d bytes of state\n",
            size.engines, size.customers, each,
            entry.core->members().all().size(), state);
    }
}

void measure_requests()
{
    std::cout << "\nDecision code of one four-stage request, without I/O\n";
    for (const auto& size : sizes)
    {
        entry_fixture entry(size);
        const double each = nanoseconds_per_call(
            5000,
            [&](std::size_t i)
            {
                entry.core->start(entry.request(i), entry.now);
                entry.answer_all();
            });
        std::cout << absl::StrFormat(
            "  %4d engines: %7.1f us per request, %d of %d complete\n",
            size.engines, each / 1000, entry.agents.complete,
            entry.agents.ended);
    }
    std::cout << "\nMemory of requests in flight (decision code)\n";
    for (const std::size_t count : {1000, 5000, 20'000})
    {
        entry_fixture entry(sizes[0]);
        entry.agents.keep_messages = false;
        const std::size_t before = heap_bytes();
        for (std::size_t i = 0; i < count; ++i)
        {
            entry.core->start(entry.request(i), entry.now);
        }
        std::cout << absl::StrFormat(
            "  %6d requests: %5d bytes each\n", entry.core->requests(),
            (heap_bytes() - before) / entry.core->requests());
    }
}

void measure_heartbeats()
{
    std::cout << "\nHeartbeats of an entry, one round\n";
    for (const auto& size : sizes)
    {
        entry_fixture entry(size);
        entry.agents.sent = 0;
        entry.agents.sent_bytes = 0;
        entry.now += std::chrono::seconds(2);
        const double spent =
            nanoseconds_per_call(1,
                                 [&](std::size_t)
                                 {
                                     entry.core->on_time(entry.now);
                                     entry.answer_all();
                                 });
        const std::size_t reply = agent_reply(wire::envelope()).ByteSizeLong();
        std::cout << absl::StrFormat(
            "  %4d engines: %4d messages, %3d bytes each, reply %3d bytes, "
            "%7.1f us for the round\n",
            size.engines, entry.agents.sent,
            entry.agents.sent_bytes /
                std::max<std::size_t>(entry.agents.sent, 1),
            reply, spent / 1000);
    }
}

void measure_configuration()
{
    std::cout
        << "\nConfiguration: applying one patch, accepting a whole value\n";
    for (const auto& size : sizes)
    {
        audit_trail trail;
        const std::string document = snapshot_document(size);
        const std::size_t before = heap_bytes();
        configuration_store store(trail);
        const double whole = nanoseconds_per_call(
            1, [&](std::size_t) { store.accept_snapshot(document); });
        const std::size_t state = heap_bytes() - before;
        const double patch = nanoseconds_per_call(
            20,
            [&](std::size_t i) { store.accept_patch(patch_document(i + 1)); });
        std::cout << absl::StrFormat(
            "  %4d engines %5d customers: value %7d bytes, patch %4d bytes, "
            "whole %7.2f ms, patch %7.2f ms, %8d bytes of state, number %d\n",
            size.engines, size.customers, document.size(),
            patch_document(1).size(), whole / 1e6, patch / 1e6, state,
            store.position().number);
    }
}

/// Simulates the reads of the configuration service by a fleet of reader
/// schedules with a seeded event queue. A watch ends after 10 s or at a change.
void measure_readers()
{
    constexpr auto length = std::chrono::minutes(30);
    constexpr auto watch = std::chrono::seconds(10);
    constexpr double change_interval_s = 86'400.0 / 2100.0;
    std::cout << "\nReads of the configuration service by the whole fleet\n";
    for (const std::size_t fleet : {10, 50, 150, 1110})
    {
        std::mt19937_64 random(1);
        std::vector<instance_entry> list;
        std::vector<std::unique_ptr<reader_schedule>> schedules;
        for (std::size_t i = 0; i < fleet; ++i)
        {
            list.push_back({"instance-" + std::to_string(i),
                            "zone-" + std::to_string(i % 5), false});
        }
        using event = std::pair<boot_clock::time_point, std::size_t>;
        std::priority_queue<event, std::vector<event>, std::greater<>> queue;
        const boot_clock::time_point begin{std::chrono::hours(1)};
        for (std::size_t i = 0; i < fleet; ++i)
        {
            schedules.push_back(std::make_unique<reader_schedule>(
                reader_schedule_settings{list[i].name, list[i].zone}, random));
            schedules[i]->begin(begin);
            schedules[i]->update_instances(list);
            queue.emplace(schedules[i]->next_read(), i);
        }
        std::size_t reads = 0;
        std::size_t elected = 0;
        std::exponential_distribution<> changes(1 / change_interval_s);
        auto next_change =
            begin + std::chrono::duration_cast<boot_clock::duration>(
                        std::chrono::duration<double>(changes(random)));
        while (queue.top().first < begin + length)
        {
            const auto [now, index] = queue.top();
            queue.pop();
            while (next_change <= now)
            {
                next_change += std::chrono::duration_cast<boot_clock::duration>(
                    std::chrono::duration<double>(changes(random)));
            }
            ++reads;
            reader_schedule& schedule = *schedules[index];
            const auto end =
                schedule.elected() ? std::min(now + watch, next_change) : now;
            schedule.record_read(read_outcome::timed_out, end);
            queue.emplace(schedule.next_read(), index);
        }
        for (const auto& schedule : schedules)
        {
            elected += schedule->elected() ? 1 : 0;
        }
        const double per_second = static_cast<double>(reads) /
                                  std::chrono::duration<double>(length).count();
        std::cout << absl::StrFormat(
            "  %4d instances: %2d watch, %6.2f reads/s, %6.4f per instance\n",
            fleet, elected, per_second,
            per_second / static_cast<double>(fleet));
    }
}

} // namespace

int main()
{
    configure_log(log_level::error, "capacity");
    measure_routing();
    measure_requests();
    measure_heartbeats();
    measure_configuration();
    measure_readers();
    return 0;
}
