// One engine answers one request with a body of 10^15 bytes that does not end.
// Counts the requests at sound engines that lose their connection by it.

#include "../standins/deployment.hpp"
#include "../standins/record.hpp"
#include "../standins/store.hpp"

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <set>
#include <thread>

namespace
{

using namespace review;

constexpr int engines = 3;
constexpr int requesters = 24;
constexpr milliseconds work_time{200};
constexpr milliseconds load_time{12'000};
constexpr milliseconds request_deadline{4000};

/// The faulty engine spoils this answer of its own, and no other: 2% of those
/// up to it.
constexpr int spoiled_answer = 50;

/// LOST is broken by more closed connections than this.
constexpr int allowed_losses = 3;

class load final
{
public:
    load(record& out, std::string address)
        : out_(out), address_(std::move(address))
    {
    }

    /// Engine `number`; the first one is faulty.
    bool serve(int number, connection& peer, const message& request)
    {
        const auto id = request.header("x-attempt-id");
        const std::string headers =
            "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal\r\n";
        out_.add("engine " + std::to_string(number) + " runs " + id);
        if (number != 0)
        {
            const std::lock_guard lock(mutex_);
            at_sound_engine_.insert(id);
        }
        std::this_thread::sleep_for(work_time);
        if (number == 0 && ++answers_ == spoiled_answer && with_trouble())
        {
            out_.add("engine 0 answers " + id + " with a body without end");
            send_endless_body(peer, headers);
            return false;
        }
        return peer.send(response(200, "done " + id, headers));
    }

    /// Sends requests one after the other on a connection that is kept.
    void send_requests(int requester)
    {
        const auto end = clock::now() + load_time;
        connection kept(-1);
        int on_connection = 0;
        for (int i = 0; clock::now() < end; ++i)
        {
            if (!kept.open())
            {
                kept = connection::connect_to(address_);
                on_connection = 0;
            }
            const std::string id =
                "r" + std::to_string(requester) + "-" + std::to_string(i);
            kept.send(request_text("/orders/x", id, "key-a", request_deadline));
            const auto answer =
                kept.read_response(clock::now() + request_deadline);
            ++on_connection;
            if (answer)
            {
                ++answered_;
                out_.add(id + " answered " + std::to_string(answer->status()));
                continue;
            }
            kept.close();
            note_loss(id, on_connection > 1);
            std::this_thread::sleep_for(milliseconds(200));
        }
    }

    int answered() const { return answered_; }
    int losses() const { return losses_; }

private:
    static void send_endless_body(connection& peer, const std::string& headers)
    {
        peer.send("HTTP/1.1 200 OK\r\n" + headers +
                  "Content-Length: 1000000000000000\r\n\r\n");
        const std::string filler(65536, 'x');
        while (peer.send(filler))
        {
        }
    }

    void note_loss(const std::string& id, bool kept)
    {
        const std::lock_guard lock(mutex_);
        const bool sound = at_sound_engine_.contains(id);
        if (kept && sound)
        {
            ++losses_;
        }
        out_.add(id + " closed without an answer" +
                 (sound ? ", at a sound engine" : "") +
                 (kept ? ", kept connection" : ""));
    }

    record& out_;
    std::string address_;
    std::mutex mutex_;
    std::set<std::string> at_sound_engine_;
    std::atomic<int> answers_{0};
    std::atomic<int> answered_{0};
    std::atomic<int> losses_{0};
};

int play(record& out)
{
    const temporary_folder folder;
    auto& platform = *new store;
    gateway edge(1, 1, platform.address(), free_port("127.0.0.2"),
                 folder.path());
    auto& traffic = *new load(out, edge.callers());
    for (int i = 0; i < engines; ++i)
    {
        auto* engine =
            new server([&traffic, i](connection& peer, const message& request)
                       { return traffic.serve(i, peer, request); });
        platform.put("servers/i-" + std::to_string(i),
                     engine_entry("desk", engine->address(), 8));
    }
    platform.put("op/config",
                 configuration_text(
                     1,
                     route_text("/orders/", "non_idempotent", "desk",
                                R"(,"timeoutMs":4000,"targetLatencyMs":500)"),
                     R"({"name":"desk","maxConnections":110})", {"key-a"}));
    if (!edge.wait_until_ready())
    {
        out.add("the gateway did not get ready: " + edge.last_log_line());
        return could_not_run;
    }
    std::vector<std::thread> threads;
    threads.reserve(requesters);
    for (int i = 0; i < requesters; ++i)
    {
        threads.emplace_back([&traffic, i] { traffic.send_requests(i); });
    }
    for (auto& each : threads)
    {
        each.join();
    }
    edge.running();
    out.add("gateway: " + edge.end_text() +
            "; last line of its log: " + edge.last_log_line());
    out.add("answered: " + std::to_string(traffic.answered()) +
            ", closed at sound engines on kept connections: " +
            std::to_string(traffic.losses()));
    if (traffic.answered() == 0)
    {
        return could_not_run;
    }
    return traffic.losses() > allowed_losses ? rule_broken : rule_held;
}

} // namespace

int main(int, char** arguments)
{
    // Not destroyed, like all that the threads of the stand-ins use: these
    // threads do not end.
    auto& out = *new record(arguments[1]);
    int result = could_not_run;
    try
    {
        result = play(out);
    }
    catch (const std::exception& error)
    {
        out.add(std::string("could not run: ") + error.what());
    }
    out.add("result: " + std::to_string(result));
    std::_Exit(result);
}
