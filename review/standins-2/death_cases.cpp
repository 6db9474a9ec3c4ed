#include "cases.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>

namespace review
{
namespace
{

constexpr milliseconds start_limit{10'000};
constexpr milliseconds contact_time{4000};
constexpr std::size_t crashes_before_limit = 5;
constexpr std::size_t allowed_sends = 3;

/// Time for which an engine is down after a crash.
constexpr milliseconds downtime{3000};
constexpr milliseconds time_to_first_event{60};

/// The answers of engines.
struct stream_shape final
{
    unsigned events;
    milliseconds pause; ///< after each event
    unsigned events_before_crash;
};

/// The part that crashes engines, and a first part that sound requests share
/// with the ones that have it.
constexpr const char* deadly_part = "dead01";
constexpr const char* first_part = "aa01";

/// What the engines see.
class observations final
{
public:
    explicit observations(record& log) : log_(log) {}

    void add_arrival(const std::string& engine, const std::string& id,
                     bool deadly)
    {
        const std::lock_guard lock(mutex_);
        log_.add("engine " + engine + " gets " + id);
        if (deadly)
        {
            deadly_.push_back(now_ms());
        }
    }

    void add_crash(const std::string& engine, const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        crashes_.push_back(now_ms());
        log_.add("engine " + engine + " crashes under " + id + ", crash " +
                 std::to_string(crashes_.size()));
    }

    std::size_t crashes()
    {
        const std::lock_guard lock(mutex_);
        return crashes_.size();
    }

    /// Returns the number of requests with the part that reached engines later
    /// than contactMs after the fifth crash.
    std::size_t late_sends()
    {
        const std::lock_guard lock(mutex_);
        std::size_t late = 0;
        for (const auto at : deadly_)
        {
            late += crashes_.size() >= crashes_before_limit &&
                            at > crashes_[crashes_before_limit - 1] +
                                     contact_time.count()
                        ? 1
                        : 0;
        }
        return late;
    }

    /// Returns the time of the fifth crash, or of the last if there are fewer.
    std::int64_t last_counted_crash()
    {
        const std::lock_guard lock(mutex_);
        const auto count = std::min(crashes_.size(), crashes_before_limit);
        return count == 0 ? 0 : crashes_[count - 1];
    }

    record& log() { return log_; }

private:
    record& log_;
    std::mutex mutex_;
    std::vector<std::int64_t> crashes_;
    std::vector<std::int64_t> deadly_; ///< times of arrivals
};

/// A model engine that crashes under a part once it has begun its answer, and
/// is back some seconds later as another start.
class fragile_engine final
{
public:
    fragile_engine(observations& seen, store& platform, const std::string& id,
                   bool crashes, const stream_shape& shape)
        : seen_(seen), platform_(platform), crashes_(crashes), shape_(shape),
          server_(id, "model",
                  [this](connection& peer, const message& request)
                  { return run(peer, request); })
    {
        publish();
    }

    ~fragile_engine()
    {
        if (recovery_.joinable())
        {
            recovery_.join();
        }
    }

    fragile_engine(const fragile_engine&) = delete;
    fragile_engine& operator=(const fragile_engine&) = delete;

private:
    void publish()
    {
        platform_.put("servers/" + server_.id(), server_.entry(++born_, 1));
    }

    bool run(connection& peer, const message& request)
    {
        const auto id = request.header("x-attempt-id");
        const bool deadly =
            request.header("x-prompt-prefix").find(deadly_part) !=
            std::string::npos;
        seen_.add_arrival(server_.id(), id, deadly);
        pause(time_to_first_event);
        if (!peer.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                       "\r\nX-Response-Seal: seal-" + server_.id() +
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"))
        {
            return false;
        }
        for (unsigned number = 1; number <= shape_.events; ++number)
        {
            if (deadly && crashes_ && number > shape_.events_before_crash)
            {
                pause(shape_.pause);
                crash(id);
                return false;
            }
            const std::string event =
                "id: " + std::to_string(number) + "\ndata: piece\n\n";
            std::array<char, 24> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
            if (!peer.send(size.data() + event + "\r\n"))
            {
                return false;
            }
            pause(shape_.pause);
        }
        return peer.send("0\r\n\r\n");
    }

    void crash(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        if (down_)
        {
            return;
        }
        down_ = true;
        seen_.add_crash(server_.id(), id);
        server_.set_down(true);
        if (recovery_.joinable())
        {
            recovery_.join();
        }
        recovery_ = std::thread(
            [this]
            {
                pause(downtime);
                server_.set_down(false);
                {
                    const std::lock_guard lock(mutex_);
                    down_ = false;
                }
                seen_.log().add("engine " + server_.id() + " starts again");
                publish();
            });
    }

    observations& seen_;
    store& platform_;
    bool crashes_;
    stream_shape shape_;
    std::atomic<std::uint64_t> born_{1'000'000};
    std::mutex mutex_;
    bool down_ = false;
    std::thread recovery_;
    engine server_; ///< last: uses the other members
};

/// Gateways, and engines that crash under a part.
class fleet final
{
public:
    fleet(const setting& given, unsigned gateway_count, bool crashes,
          const stream_shape& shape)
        : seen(given.log), platform_(given.log)
    {
        constexpr int count = 8;
        platform_.put("op/config", query_configuration(1).dump());
        for (int i = 1; i <= count; ++i)
        {
            engines_.push_back(std::make_unique<fragile_engine>(
                seen, platform_, "i-" + std::to_string(i), crashes, shape));
        }
        deployment values{platform_.address()};
        values.seed_ip = "127.0.0.2";
        for (unsigned i = 1; i <= gateway_count; ++i)
        {
            values.name = "edge-north-a-" + std::to_string(i);
            values.ip = "127.0.0." + std::to_string(i + 1);
            gateways.push_back(
                std::make_unique<gateway>(values, given.folder, given.log));
            values.ports = gateways.front()->ports();
        }
    }

    /// Returns the gateway of the next requester, each in turn.
    const gateway& next_gateway()
    {
        return *gateways[turn_++ % gateways.size()];
    }

    bool wait_until_ready() const
    {
        for (const auto& each : gateways)
        {
            if (!each->wait_until_ready(start_limit))
            {
                return false;
            }
        }
        return true;
    }

    observations seen;
    std::vector<std::unique_ptr<gateway>> gateways;

private:
    std::atomic<std::size_t> turn_{0};
    store platform_;
    std::vector<std::unique_ptr<fragile_engine>> engines_;
};

/// Sends a request with the given parts and one of its own. Returns the status
/// of a complete answer, otherwise 0.
int query(const gateway& node, const std::string& id, const std::string& parts,
          record& log)
{
    const auto client = connection::open(node.port(), node.ip());
    if (!client)
    {
        return 0;
    }
    log.add("requester sends " + id + " with parts " + parts);
    client->send(request_head("/query/new", id) +
                 "X-Model: m\r\nX-Token-Counts: 900,20\r\nX-Prompt-Prefix: " +
                 parts + ",f" + std::to_string(std::hash<std::string>()(id)) +
                 ":100\r\nContent-Length: 0\r\n\r\n");
    const auto answer = read_answer(*client, id, log);
    return answer && answer->complete ? answer->status() : 0;
}

/// Requests of other callers, with other parts, at each gateway.
class other_callers final
{
public:
    /// `callers`: at each gateway.
    other_callers(const fleet& nodes, record& log, bool shares_first_part,
                  std::size_t callers)
    {
        for (std::size_t n = 0; n < callers * nodes.gateways.size(); ++n)
        {
            const auto& node = *nodes.gateways[n % nodes.gateways.size()];
            threads_.emplace_back([this, &node, &log, shares_first_part, n]
                                  { run(node, log, shares_first_part, n); });
        }
    }

    ~other_callers()
    {
        ending_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }

    other_callers(const other_callers&) = delete;
    other_callers& operator=(const other_callers&) = delete;

    int served() const { return served_; }
    int lost() const { return lost_; }

private:
    void run(const gateway& node, record& log, bool shares_first_part,
             std::size_t caller)
    {
        for (int i = 0; !ending_; ++i)
        {
            const std::string first =
                shares_first_part && i % 2 == 0 ? first_part : "bb01";
            const int status = query(
                node,
                "other-" + std::to_string(caller) + "-" + std::to_string(i),
                first + ":500,cc0" + std::to_string(i % 9) + ":200", log);
            served_ += status == 200 ? 1 : 0;
            lost_ += status == 0 ? 1 : 0;
            pause(milliseconds(60));
        }
    }

    std::atomic<bool> ending_{false};
    std::atomic<int> served_{0};
    std::atomic<int> lost_{0};
    std::vector<std::thread> threads_;
};

std::string deadly_parts()
{
    return std::string(first_part) + ":500," + deadly_part + ":300";
}

/// Requests with the part that crashes engines, each on a connection of its
/// own.
class deadly_callers final
{
public:
    deadly_callers(fleet& nodes, record& log, milliseconds interval)
        : thread_(
              [this, &nodes, &log, interval]
              {
                  std::vector<std::thread> senders;
                  for (int i = 0; !ending_; ++i)
                  {
                      const auto& node = nodes.next_gateway();
                      senders.emplace_back(
                          [&node, &log, i] {
                              query(node, "deadly-" + std::to_string(i),
                                    deadly_parts(), log);
                          });
                      pause(interval);
                  }
                  for (auto& sender : senders)
                  {
                      sender.join();
                  }
              })
    {
    }

    ~deadly_callers()
    {
        ending_ = true;
        thread_.join();
    }

    deadly_callers(const deadly_callers&) = delete;
    deadly_callers& operator=(const deadly_callers&) = delete;

private:
    std::atomic<bool> ending_{false};
    std::thread thread_; ///< last: uses the other members
};

} // namespace

verdict crash_after_first_event(const setting& given)
{
    constexpr int requests = 80;
    constexpr milliseconds interval{500};
    fleet nodes(given, 2, given.trouble, {20, milliseconds(30), 1});
    if (!nodes.wait_until_ready())
    {
        return verdict::not_run;
    }
    int served = 0;
    int lost = 0;
    {
        const other_callers others(nodes, given.log, true, 5);
        pause(milliseconds(3000));
        {
            const deadly_callers deadly(nodes, given.log, interval);
            pause(interval * requests);
        }
        served = others.served();
        lost = others.lost();
    }
    const auto late = nodes.seen.late_sends();
    given.log.add(std::to_string(nodes.seen.crashes()) + " crashes, " +
                  std::to_string(late) +
                  " requests with the part reached engines later than "
                  "contactMs after the fifth; of the others " +
                  std::to_string(served) + " were served and " +
                  std::to_string(lost) + " broke off");
    return served == 0            ? verdict::not_run
           : late > allowed_sends ? verdict::broken
                                  : verdict::held;
}

verdict first_part_refused(const setting& given)
{
    constexpr int bursts = 4; ///< before and after
    constexpr int burst_size = 6;
    constexpr milliseconds burst_interval{8000};
    constexpr milliseconds deadly_interval{250};
    constexpr milliseconds deadly_time{2000}; ///< before the kill
    constexpr milliseconds restart_delay{500};
    fleet nodes(given, 1, true, {4, milliseconds(20), 0});
    if (!nodes.wait_until_ready())
    {
        return verdict::not_run;
    }
    const other_callers others(nodes, given.log, false, 1);
    int number = 0;
    const auto send_burst = [&]
    {
        int served = 0;
        for (int i = 0; i < burst_size; ++i)
        {
            const auto& node = nodes.next_gateway();
            served += query(node, "sound-" + std::to_string(++number),
                            std::string(first_part) + ":500,bb07:300",
                            given.log) == 200
                          ? 1
                          : 0;
        }
        return served;
    };
    auto next = now_ms();
    const auto wait_for_turn = [&next, burst_interval]
    {
        next += burst_interval.count();
        pause(milliseconds(std::max<std::int64_t>(0, next - now_ms())));
    };
    int before = 0;
    for (int i = 0; i < bursts; ++i)
    {
        before += send_burst();
        wait_for_turn();
    }
    send_burst();
    const deadly_callers deadly(nodes, given.log, deadly_interval);
    pause(deadly_time);
    if (given.trouble)
    {
        given.log.add("the gateway is killed");
        for (const auto& each : nodes.gateways)
        {
            each->signal(SIGKILL);
            each->wait_until_ended(milliseconds(2000));
        }
        pause(restart_delay);
        for (const auto& each : nodes.gateways)
        {
            each->start();
        }
    }
    int after = 0;
    int sent = 0;
    while (sent < bursts * burst_size)
    {
        wait_for_turn();
        // From 2 x contactMs after the fifth crash.
        const bool counts = now_ms() > nodes.seen.last_counted_crash() +
                                           2 * contact_time.count();
        const int served = send_burst();
        sent += counts ? burst_size : 0;
        after += counts ? served : 0;
    }
    given.log.add(std::to_string(nodes.seen.crashes()) + " crashes; of " +
                  std::to_string(bursts * burst_size) +
                  " sound requests with the first part each, " +
                  std::to_string(before) + " were served before and " +
                  std::to_string(after) + " after");
    return before < sent || others.served() == 0 ? verdict::not_run
           : 2 * after < before                  ? verdict::broken
                                                 : verdict::held;
}

} // namespace review
