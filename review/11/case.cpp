#include "../standins-3/deployment.hpp"

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
constexpr unsigned rounds = 3;

/// The engine repeats one answer in this many.
constexpr unsigned answers_per_copy = 40;

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
    send_all(record, edge.callers(), {name + "-p", name + "-q"},
             milliseconds(0), cut_off);
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

verdict play(case_record& record)
{
    deployment all;
    unsigned sequence = 1;
    register_stage_engine(all.store, all.cut, "mould", "vestland-a", sequence);
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
    unsigned played = 0;
    for (unsigned round = 0; round < rounds; ++round)
    {
        const std::string name = "r" + std::to_string(round);
        const auto until = all.cut.answered() + answers_per_copy - 1;
        for (unsigned i = 0; all.cut.answered() < until; ++i)
        {
            const auto id = name + "-" + std::to_string(i);
            send_all(record, edge.callers(), {id + "a", id + "b"},
                     milliseconds(0));
        }
        bool met = false;
        for (unsigned i = 0; i < max_tries && !met; ++i)
        {
            met = disturb(record, all, edge, name + "-t" + std::to_string(i));
        }
        played += met ? 1 : 0;
        std::this_thread::sleep_for(absence);
        register_stage_engine(all.store, all.cut, "mould", "vestland-a",
                              ++sequence);
        record.write("entry of " + all.cut.id() + " is there again");
        std::this_thread::sleep_for(watch_time);
        std::vector<std::string> after;
        for (unsigned i = 0; i < requests_after; ++i)
        {
            after.push_back(name + "-after" + std::to_string(i));
        }
        send_all(record, edge.callers(), after, request_gap);
        write_logs(record, all);
    }
    record.write_runs(all.first);
    record.write_runs(all.second);
    const auto foreign = count_foreign(record, all);
    record.write(std::to_string(foreign) +
                 " requests were given inputs of another request");
    return foreign > 0       ? verdict::broken
           : played < rounds ? verdict::not_run
                             : verdict::held;
}

} // namespace

int main()
{
    return review::run_case(play);
}
