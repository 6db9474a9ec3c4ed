#include "../standins-3/deployment.hpp"

#include <deque>
#include <functional>
#include <thread>

/// The entry of a stage engine expires while a call is at work there, as the
/// engine can't reach the store for some seconds, and comes back. The engine
/// sends a second copy of the answer to that call, late: at the point where the
/// next answer on the connection is expected.
namespace
{

using namespace review;

constexpr milliseconds answer_limit{6500};
constexpr unsigned looks_per_step = 4;

/// The copy is one of this many answers of the two faulty engines within the
/// length of the disruption, and one of as many of its own engine.
constexpr unsigned answers_per_copy = 40;
constexpr milliseconds garble_length{5000};

constexpr milliseconds into_the_call{30};
constexpr milliseconds absence{700};
constexpr milliseconds watch_time{200};
constexpr milliseconds request_gap{20};
constexpr unsigned requests_after = 4;
constexpr unsigned max_tries = 10;

struct deployment final
{
    stage_results results;
    platform_store store;
    stage_engine cut{"i-mould1", results};
    stage_engine sound{"i-mould2", results};
    engine first{"i-smelte1",
                 [this](const http_message& request) { return work(request); }};
    engine second{"i-smelte2", [this](const http_message& request)
                  { return work(request); }};
    engine order{"i-order1", [](const http_message&) { return engine_work(); }};

    engine_work work(const http_message& request) const
    {
        engine_work result;
        result.events = {1, 2, 3, 4};
        result.before_first = milliseconds(50);
        const auto input = request.header("x-input-count");
        result.refusal = input.empty() ? 400 : results.is_kept(input) ? 0 : 409;
        return result;
    }
};

void send_one(case_record& record, std::mutex& mutex,
              const std::string& address, const std::string& id)
{
    http_peer requester(address);
    requester.send(request_head("POST", "/draft/x", id, first_key,
                                "X-Deadline-Ms: 6000\r\nX-Chunk-Count: 1\r\n"
                                "X-Chunk-Key: key-" +
                                    id + "\r\nContent-Length: 0\r\n"));
    const auto answer = requester.read(answer_limit);
    const std::lock_guard lock(mutex);
    record.write("requester " + id + " answered " +
                 (answer ? answer->first_line : "nothing") +
                 (answer && answer->complete ? ", complete" : ""));
}

/// Sends requests at the same time, `gap` after one another.
void send_all(
    case_record& record, const std::string& address,
    const std::vector<std::string>& ids, milliseconds gap,
    const std::function<void()>& meanwhile = [] {})
{
    std::mutex mutex;
    std::vector<std::thread> requesters;
    for (const auto& id : ids)
    {
        requesters.emplace_back([&, id]
                                { send_one(record, mutex, address, id); });
        std::this_thread::sleep_for(gap);
    }
    meanwhile();
    for (auto& each : requesters)
    {
        each.join();
    }
}

void write_logs(case_record& record, deployment& all)
{
    for (auto* one : {&all.cut, &all.sound})
    {
        for (const auto& line : one->take_log())
        {
            record.write("engine " + one->id() + " " + line);
        }
    }
}

/// Returns whether the call that is to be disturbed was at the engine that is.
bool disturb(case_record& record, deployment& all, const gateway& edge,
             const std::string& name)
{
    const auto begun = all.cut.begun();
    bool met = false;
    const auto cut_off = [&]
    {
        met = mangolink::bench::wait_until(
            [&] { return all.cut.begun() > begun; }, milliseconds(150));
        if (met && with_trouble())
        {
            std::this_thread::sleep_for(into_the_call);
            all.store.remove("servers/" + all.cut.id());
        }
    };
    if (with_trouble())
    {
        all.cut.repeat_next_answer();
    }
    send_all(record, edge.callers(), {name + "-p", name + "-q"}, request_gap,
             cut_off);
    return met;
}

unsigned count_foreign(case_record& record, const deployment& all)
{
    unsigned foreign = 0;
    for (const auto* one : {&all.first, &all.second})
    {
        for (const auto& run : one->runs())
        {
            const auto input = run.request.header("x-input-count");
            const auto owner = all.results.request_of(input);
            const auto id = run.request.header("x-attempt-id");
            if (owner != id)
            {
                ++foreign;
                record.write("engine " + one->id() + " was given request " +
                             id + " with " + input + ", the result of " +
                             owner + ": " + run.end);
            }
        }
    }
    return foreign;
}

/// Sends requests until the engine that will be cut has answered often enough.
/// Returns how often the two faulty engines answered in the last 5 s.
unsigned send_before(case_record& record, const deployment& all,
                     const gateway& edge)
{
    std::deque<std::pair<steady_time, unsigned>> steps;
    unsigned looks = 0;
    for (unsigned i = 0; all.cut.answered() < answers_per_copy - 1; ++i)
    {
        steps.emplace_back(std::chrono::steady_clock::now(),
                           all.cut.answered() + looks);
        const auto id = "before-" + std::to_string(i);
        send_all(record, edge.callers(), {id + "a", id + "b"}, milliseconds(0));
        for (unsigned look = 0; look < looks_per_step; ++look)
        {
            http_peer requester(edge.callers());
            requester.send(request_head(
                "GET", "/look/x", id + "-look" + std::to_string(look),
                first_key, "X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n"));
            const auto answer = requester.read(answer_limit);
            looks += answer && answer->status() == 200 ? 1 : 0;
        }
    }
    const auto since = std::chrono::steady_clock::now() - garble_length;
    while (!steps.empty() && steps.front().first < since)
    {
        steps.pop_front();
    }
    return steps.empty() ? 0
                         : all.cut.answered() + looks - steps.front().second;
}

verdict play(case_record& record)
{
    deployment all;
    register_stage_engine(all.store, all.cut, "mould", "vestland-a", 1);
    register_stage_engine(all.store, all.sound, "mould", "vestland-a", 1);
    register_engine(all.store, all.first, "smelte", "vestland-a", 128);
    register_engine(all.store, all.second, "smelte", "vestland-a", 128);
    register_engine(all.store, all.order, "order", "vestland-a", 6);
    all.store.put("op/config", small_configuration(1, {first_key}).dump());
    const gateway edge(1, "vestland-a", all.store.address(), machine_address(2),
                       work_folder());
    if (!edge.wait_until_ready())
    {
        return verdict::not_run;
    }
    const auto recent = send_before(record, all, edge);
    record.write(std::to_string(recent) + " answers of " + all.cut.id() +
                 " and " + all.order.id() + " in the 5 s before the copy");
    bool met = false;
    for (unsigned i = 0; i < max_tries && !met; ++i)
    {
        met = disturb(record, all, edge, "t" + std::to_string(i));
    }
    std::this_thread::sleep_for(absence);
    register_stage_engine(all.store, all.cut, "mould", "vestland-a", 2);
    record.write("entry of " + all.cut.id() + " is there again");
    std::this_thread::sleep_for(watch_time);
    std::vector<std::string> after;
    for (unsigned i = 0; i < requests_after; ++i)
    {
        after.push_back("after" + std::to_string(i));
    }
    send_all(record, edge.callers(), after, request_gap);
    write_logs(record, all);
    record.write_runs(all.first);
    record.write_runs(all.second);
    const auto foreign = count_foreign(record, all);
    record.write(std::to_string(foreign) +
                 " requests were given inputs of another request");
    return !met || recent < answers_per_copy ? verdict::not_run
           : foreign > 0                     ? verdict::broken
                                             : verdict::held;
}

} // namespace

int main()
{
    return review::run_case(play);
}
