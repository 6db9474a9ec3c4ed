#include "deployment.hpp"

#include <thread>

/// A key is withdrawn, and everywhere refused. Four seconds later the store
/// comes back from a copy some seconds old, as in a drill, and one of two
/// machines loses power meanwhile. The operator writes again two seconds later.
namespace
{

using namespace review;
using mangolink::test::store_mode;

constexpr milliseconds answer_limit{3000};
constexpr milliseconds revoke_limit{5000}; ///< revokeMs of the settings
constexpr milliseconds store_away{200};
constexpr milliseconds rewrite_delay{2000};
constexpr milliseconds request_interval{50};

struct sent_request final
{
    std::string id;
    steady_time at;
};

int send_one(case_record& record, const gateway& to, const std::string& id)
{
    http_peer requester(to.callers());
    requester.send(
        request_head("GET", "/look/x", id, second_key,
                     "X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n"));
    const auto answer = requester.read(answer_limit);
    const int status = answer ? answer->status() : 0;
    record.write(id + " with the withdrawn key: " + std::to_string(status));
    return status;
}

void withdraw_key(mangolink::test::store_standin& store)
{
    store.put("op/config", small_configuration(2, {first_key}).dump());
}

/// The store comes back from the copy while a machine loses power.
void drill(case_record& record, mangolink::test::store_standin& store,
           gateway& victim)
{
    store.set_mode(store_mode::busy);
    victim.kill();
    record.write("store away, power of the first machine lost");
    std::this_thread::sleep_for(store_away);
    store.come_back();
    store.set_mode(store_mode::serving);
    victim.start();
    record.write("store back from its copy, first machine started again");
}

verdict play(case_record& record)
{
    mangolink::test::store_standin store;
    engine order("i-order1", [](const http_message&) { return engine_work(); });
    register_engine(store, order, "order", "vestland-a", 6);
    store.put("op/config",
              small_configuration(1, {first_key, second_key}).dump());
    gateway one(1, "vestland-a", store.address(), machine_address(2),
                work_folder());
    gateway two(2, "viken-a", store.address(), machine_address(1),
                work_folder());
    if (!one.wait_until_ready() || !two.wait_until_ready() ||
        send_one(record, one, "before-1") != 200 ||
        send_one(record, two, "before-2") != 200)
    {
        return verdict::not_run;
    }
    store.take_copy();
    withdraw_key(store);
    const auto confirmed = std::chrono::steady_clock::now();
    record.write("withdrawal of the key confirmed");
    std::this_thread::sleep_for(milliseconds(4300));
    send_one(record, one, "after-1");
    send_one(record, two, "after-2");
    steady_time rewritten = confirmed + milliseconds(4300) + rewrite_delay;
    if (with_trouble())
    {
        drill(record, store, one);
        rewritten = std::chrono::steady_clock::now() + rewrite_delay;
    }
    std::this_thread::sleep_until(confirmed + revoke_limit + milliseconds(50));
    std::vector<sent_request> sent;
    for (int i = 0; std::chrono::steady_clock::now() < rewritten; ++i)
    {
        for (const auto* machine : {&one, &two})
        {
            const std::string id =
                "late-" + std::to_string(i) + (machine == &one ? "-1" : "-2");
            sent.push_back({id, std::chrono::steady_clock::now()});
            send_one(record, *machine, id);
        }
        std::this_thread::sleep_for(request_interval);
    }
    if (with_trouble())
    {
        withdraw_key(store);
        record.write("operator has written again");
    }
    record.write_runs(order);
    std::size_t broken = 0;
    for (const auto& run : order.runs())
    {
        for (const auto& each : sent)
        {
            broken += run.ran &&
                              run.request.header("x-attempt-id") == each.id &&
                              each.at > confirmed + revoke_limit
                          ? 1
                          : 0;
        }
    }
    record.write(std::to_string(broken) + " of " + std::to_string(sent.size()) +
                 " requests ran that were sent later than 5000 ms after the "
                 "confirmation");
    return broken > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    return review::run_case(play);
}
