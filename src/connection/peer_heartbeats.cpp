#include "connection/peer_heartbeats.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/listening_socket.hpp"
#include "connection/prompt_guard.hpp"
#include "connection/prompt_message.hpp"
#include "connection/prompt_work_message.hpp"
#include "connection/server_limit_guard.hpp"
#include "connection/service_task.hpp"
#include "connection/stage_dispatcher.hpp"
#include "connection/task_message.hpp"
#include "gateway.pb.h"
#include "process/peer_directory.hpp"
#include "request/prompt_quarantine.hpp"

#include <absl/random/distributions.h>

#include <algorithm>

namespace mangolink
{
namespace
{

/// Load changes once per call of a stage server, which takes about 200 ms; a
/// shorter interval would add no information.
constexpr milliseconds min_interval{150};

/// The interval grows with the number of processes, so that each process sends
/// at most about this many datagrams per second, by the kind of heartbeat.
constexpr double max_datagrams_per_second[] = {130, 260};

/// Number of peer addresses in a heartbeat, by which processes discover each
/// other.
constexpr std::size_t addresses_per_heartbeat = 6;

/// The first heartbeats, and some after a process has joined, carry addresses
/// and all suspicions and limits, so that a new process is discovered and
/// learns quickly, and then one in every heartbeats_per_address_list. Distant
/// processes get every third or ninth heartbeat, so the number must not be a
/// multiple of 3.
constexpr std::uint64_t initial_heartbeats = 20;
constexpr std::uint64_t heartbeats_per_address_list = 7;
constexpr std::uint64_t heartbeats_after_join = 3;

/// Interval of heartbeats to all processes, also to distant ones.
constexpr milliseconds min_interval_to_all{1000};

constexpr milliseconds seed_interval{2000};

/// Ages in datagrams that are read after a longer pause may be wrong, since the
/// process may have been suspended.
constexpr milliseconds max_receipt_gap{1000};

constexpr double weight_scale = 1000;

} // namespace

peer_heartbeats::peer_heartbeats(
    asio::io_context& io, peer_directory& peers, stage_dispatcher& stages,
    prompt_guard& prompts, server_limit_guard& limits, prompt_work& prompt_work,
    std::vector<std::string> seeds, std::function<void()> changed,
    metrics_registry& metrics)
    : io_(io), peers_(peers), stages_(stages), prompts_(prompts),
      limits_(limits), prompt_work_(prompt_work), seeds_(std::move(seeds)),
      changed_(std::move(changed)),
      sent_(metrics.counter("mangolink_beats_total", "how=\"sent\"")),
      received_(metrics.counter("mangolink_beats_total", "how=\"received\"")),
      invalid_(metrics.counter("mangolink_beats_total", "how=\"unreadable\"")),
      first_regular_(initial_heartbeats), kind_(heartbeat_kind::liveness),
      socket_(io)
{
    const auto& own = peers_.self().address;
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(own.host),
                                           own.port);
    socket_.open(endpoint.protocol());
    socket_.bind(endpoint);
    socket_.non_blocking(true);
    prompt_work_.set_listener([this](const server_prompt_work& work)
                              { tell_prompt(work); });
    spawn_service(io_, "heartbeat receiver", [this] { return receive_loop(); });
    spawn_service(io_, "heartbeat sender", [this] { return send_loop(); });
}

peer_heartbeats::~peer_heartbeats()
{
    prompt_work_.set_listener(nullptr);
}

void peer_heartbeats::set_seeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
    add_seed_addresses(boot_clock::now());
}

void peer_heartbeats::send_to_all()
{
    all_waiting_ = false;
    last_to_all_ = boot_clock::now();
    send(0);
}

void peer_heartbeats::send_to_all_soon()
{
    all_waiting_ = true;
    if (boot_clock::now() - last_to_all_ >= min_interval_to_all)
    {
        send_to_all();
    }
}

void peer_heartbeats::send(std::uint64_t heartbeat_number)
{
    const auto load_reports = stages_.load_reports();
    kind_ =
        load_reports.empty() ? heartbeat_kind::liveness : heartbeat_kind::load;
    auto heartbeat = compose(load_reports);
    const std::string bytes = heartbeat.SerializeAsString();
    const auto targets = peers_.heartbeat_targets(heartbeat_number, kind_);
    const auto now = boot_clock::now();
    prompt_work_.expire(now);
    const auto work = prompt_work_.report(now);
    std::string bytes_nearby;
    if (!work.empty())
    {
        write_prompt_work(work, heartbeat);
        bytes_nearby = heartbeat.SerializeAsString();
    }
    for (const auto& address : targets)
    {
        // In another region the report would come too late.
        const bool with_work = !work.empty() && peers_.is_nearby(address);
        send_datagram(address, with_work ? bytes_nearby : bytes);
    }
}

void peer_heartbeats::tell_prompt(const server_prompt_work& work)
{
    wire::gateway_heartbeat message;
    message.set_name(peers_.self().name);
    write_prompt_work({work}, message);
    const std::string bytes = message.SerializeAsString();
    for (const auto& address : peers_.nearby_addresses(false))
    {
        send_datagram(address, bytes);
    }
    message.mutable_prompt_work()->set_relay(true);
    const std::string bytes_to_relay = message.SerializeAsString();
    for (const auto& address : peers_.relay_addresses(work.server))
    {
        send_datagram(address, bytes_to_relay);
    }
}

void peer_heartbeats::process_prompt(wire::gateway_heartbeat& message)
{
    const auto now = boot_clock::now();
    for (const auto& work : read_prompt_work(message))
    {
        prompt_work_.add_reported(message.name(), work, now);
    }
    if (message.prompt_work().relay())
    {
        message.mutable_prompt_work()->set_relay(false);
        const std::string bytes = message.SerializeAsString();
        for (const auto& address : peers_.nearby_addresses(true))
        {
            send_datagram(address, bytes);
        }
    }
}

void peer_heartbeats::send_datagram(const socket_address& address,
                                    const std::string& bytes)
{
    error_code error;
    const asio::ip::udp::endpoint to(
        asio::ip::make_address(address.host, error), address.port);
    socket_.send_to(asio::buffer(bytes), to, 0, error);
    // A failed send is not retried; the next heartbeat replaces it.
    sent_.add(error ? 0 : 1);
}

asio::awaitable<void> peer_heartbeats::receive_loop()
{
    while (true)
    {
        error_code error;
        co_await socket_.async_wait(asio::ip::udp::socket::wait_read,
                                    redirect_to(error));
        if (error)
        {
            co_return;
        }
        const auto now = boot_clock::now();
        const bool delayed = now - last_receipt_ > max_receipt_gap;
        last_receipt_ = now;
        // Reads all pending datagrams per wake-up.
        while (!error)
        {
            asio::ip::udp::endpoint from;
            const auto size =
                socket_.receive_from(asio::buffer(buffer_), from, 0, error);
            if (!error)
            {
                process_datagram(size, delayed);
            }
        }
    }
}

asio::awaitable<void> peer_heartbeats::send_loop()
{
    auto next_seeds = boot_clock::now();
    while (true)
    {
        const auto now = boot_clock::now();
        if (now >= next_seeds)
        {
            add_seed_addresses(now);
            next_seeds = now + seed_interval;
        }
        for (const auto& name : peers_.expire(now))
        {
            log_notice("peers", "Process is unresponsive.",
                       {{"process", name}});
            changed_();
        }
        ++heartbeat_number_;
        if (all_waiting_ && now - last_to_all_ >= min_interval_to_all)
        {
            send_to_all();
        }
        else
        {
            send(heartbeat_number_ - 1);
        }
        co_await pause(io_, interval());
    }
}

milliseconds peer_heartbeats::interval() const
{
    const double needed_ms =
        1000 * peers_.mean_heartbeat_targets(kind_) /
        max_datagrams_per_second[static_cast<std::size_t>(kind_)];
    return std::max(min_interval,
                    milliseconds(static_cast<std::int64_t>(needed_ms)));
}

void peer_heartbeats::process_datagram(std::size_t size, bool delayed)
{
    wire::gateway_heartbeat heartbeat;
    if (!heartbeat.ParseFromArray(buffer_.data(), static_cast<int>(size)))
    {
        invalid_.add();
        return;
    }
    if (heartbeat.has_prompt_work() && heartbeat.address().empty() &&
        !heartbeat.name().empty())
    {
        if (!delayed)
        {
            process_prompt(heartbeat);
        }
        return;
    }
    const auto address = socket_address::parse(heartbeat.address());
    if (!address || heartbeat.name().empty() || heartbeat.incarnation() == 0)
    {
        invalid_.add();
        return;
    }
    received_.add();
    const auto now = boot_clock::now();
    const peer from{incarnation(heartbeat.incarnation()),
                    heartbeat.name(),
                    heartbeat.zone(),
                    *address,
                    heartbeat.stopping(),
                    std::max(1U, heartbeat.weight_permille()) / weight_scale,
                    milliseconds(heartbeat.interval_ms())};
    const auto change = peers_.record_heartbeat(from, now);
    for (const auto& text : heartbeat.known())
    {
        if (const auto other = socket_address::parse(text))
        {
            peers_.add_candidate(*other, now);
        }
    }
    for (const auto& report : heartbeat.outlooks())
    {
        stages_.update_load_report(report.server(), read_load_report(report));
    }
    if (!delayed)
    {
        merge_prompts(heartbeat);
        prompt_work_.merge(heartbeat.name(), read_prompt_work(heartbeat), now);
    }
    limits_.merge(heartbeat, delayed);
    if (change == peer_change::none)
    {
        return;
    }
    static constexpr const char* names[] = {"unchanged", "Process joined.",
                                            "Process restarted.",
                                            "Process is stopping."};
    if (change != peer_change::stopping)
    {
        first_regular_ =
            std::max(first_regular_, heartbeat_number_ + heartbeats_after_join);
    }
    log_notice("peers", names[static_cast<std::size_t>(change)],
               {{"process", from.name},
                {"zone", from.zone},
                {"started", from.process_incarnation.text()},
                {"address", from.address.text()}});
    changed_();
}

void peer_heartbeats::merge_prompts(const wire::gateway_heartbeat& heartbeat)
{
    const auto now = boot_clock::now();
    prompts_.record_outcomes(heartbeat.name(), read_outcomes(heartbeat, now));
    for (const auto& suspicion : heartbeat.prompts())
    {
        prompts_.merge(read_suspicion(suspicion, now));
    }
}

wire::gateway_heartbeat
peer_heartbeats::compose(const std::vector<named_load_report>& load_reports)
{
    const peer& self = peers_.self();
    wire::gateway_heartbeat heartbeat;
    heartbeat.set_incarnation(self.process_incarnation.value());
    heartbeat.set_name(self.name);
    heartbeat.set_zone(self.zone);
    heartbeat.set_address(self.address.text());
    heartbeat.set_stopping(self.stopping);
    heartbeat.set_interval_ms(static_cast<std::uint32_t>(interval().count()));
    heartbeat.set_weight_permille(
        std::max(1U, static_cast<std::uint32_t>(self.weight * weight_scale)));
    for (const auto& report : load_reports)
    {
        write_load_report(report.server->id, report.load_report,
                          *heartbeat.add_outlooks());
    }
    const auto now = boot_clock::now();
    write_outcomes(prompts_.outcomes(), now, heartbeat);
    const bool complete = heartbeat_number_ < first_regular_ ||
                          heartbeat_number_ % heartbeats_per_address_list == 0;
    for (const auto& suspicion : prompts_.report(complete))
    {
        write_suspicion(suspicion, now, *heartbeat.add_prompts());
    }
    limits_.write(heartbeat, complete);
    if (complete)
    {
        auto known = peers_.live_addresses();
        std::shuffle(known.begin(), known.end(), random_);
        known.resize(std::min(known.size(), addresses_per_heartbeat));
        for (const auto& address : known)
        {
            heartbeat.add_known(address.text());
        }
    }
    return heartbeat;
}

void peer_heartbeats::add_seed_addresses(boot_clock::time_point now)
{
    for (const auto& seed : seeds_)
    {
        // Seeds name another port of an instance; the heartbeat port is the
        // same on all instances.
        auto address = socket_address::parse(seed);
        if (address)
        {
            address->port = peers_.self().address.port;
            peers_.add_candidate(*address, now);
        }
    }
}

} // namespace mangolink
