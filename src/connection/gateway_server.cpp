#include "connection/gateway_server.hpp"

#include "base/log.hpp"
#include "base/socket_address.hpp"
#include "connection/auxiliary_listener.hpp"
#include "connection/caller_session.hpp"
#include "connection/failure_log.hpp"
#include "connection/forward_protocol.hpp"
#include "connection/forward_run.hpp"
#include "connection/listening_socket.hpp"
#include "connection/peer_heartbeats.hpp"
#include "connection/peer_server.hpp"
#include "connection/placement_page.hpp"
#include "connection/service_task.hpp"
#include "connection/update_follower.hpp"
#include "process/memory_account.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <iostream>
#include <stdexcept>

namespace mangolink
{
namespace
{

constexpr milliseconds periodic_interval{250};

/// Log lines are buffered this long and written in one batch.
constexpr milliseconds log_flush_interval{100};

/// Holds a few seconds of log lines while the reader of stdout is stalled.
constexpr std::size_t log_capacity = 1024 * 1024;

/// The load balancer probes readiness once a second and removes an instance
/// after two failures. Connections that it opens before that are still served.
constexpr milliseconds balancer_removal_delay{2600};

/// How long requests that are on their way when the process stops to accept any
/// are still read and refused.
constexpr milliseconds rejection_time{300};

/// Requests that are still open this long before the stop limit are ended, and
/// the time their last answers have to leave.
constexpr milliseconds stop_reserve{300};
constexpr milliseconds last_answers_time{150};
constexpr milliseconds last_answers_interval{10};

/// Share of the process memory that received bytes may take. The rest is for
/// the program, copies of bytes in work and parsed values.
constexpr double received_memory_share = 0.4;

/// Share of the file descriptors that callers' connections may use, and the
/// share up to which further ones get a refusal before they are closed.
constexpr double caller_descriptor_share = 0.6;
constexpr double refused_descriptor_share = 0.7;

socket_address parse_address(const std::string& address)
{
    const auto result = socket_address::parse(address);
    if (!result)
    {
        throw std::runtime_error(address + " is not a valid address");
    }
    return *result;
}

tcp::acceptor open_acceptor(asio::io_context& io, const std::string& address)
{
    return open_listening_socket(io, parse_address(address));
}

/// Returns the description of this process for its peers. Without a peer
/// address it works without peers.
peer describe_self(const gateway_settings& settings)
{
    return {incarnation::random(),
            settings.name,
            settings.zone,
            settings.peer_address.empty()
                ? socket_address()
                : parse_address(settings.peer_address),
            false,
            settings.processor_share};
}

} // namespace

gateway_server::gateway_server(gateway_settings settings,
                               settings_loader reload,
                               const forward_protocol& protocol)
    : settings_(std::move(settings)), reload_(std::move(reload)),
      protocol_(protocol),
      memory_(static_cast<std::uint64_t>(
                  received_memory_share *
                  static_cast<double>(settings_.memory_bytes)),
              [this](const memory_account& account) { on_reclaim(account); }),
      state_(settings_), connections_(
                             io_,
                             [this](const backend_server& server)
                             { return connection_limit(server); },
                             metrics_),
      peers_({describe_self(settings_), settings_.own_region_zones()}),
      listener_([this](const received_head& head) { on_answer(head); }),
      stages_(io_, settings_, protocol_, state_, peers_, connections_,
              listener_, memory_, metrics_),
      prompts_(state_.quarantine(), metrics_,
               [this](bool found_here) { quarantine_changed(found_here); }),
      limits_(state_.limits(), state_.directory(), metrics_,
              [this]
              {
                  if (heartbeats_)
                  {
                      heartbeats_->send_to_all_soon();
                  }
              }),
      region_refusals_(metrics_),
      updater_(
          state_, [this] { topology_changed(); },
          [this](const std::string& id) { remove_server(id); }),
      context_{io_,      settings_, protocol_,        metrics_,
               state_,   memory_,   connections_,     stages_,
               prompts_, limits_,   region_refusals_, listener_},
      reader_activation_(io_),
      updates_(io_, state_, updater_, reader_activation_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      log_output_(std::cout, STDOUT_FILENO, log_capacity),
      dropped_log_lines_(metrics_.counter("mangolink_log_lines_dropped_total"))
{
    accept_callers();
    balancer_listener_ = std::make_unique<auxiliary_listener>(
        io_, open_acceptor(io_, settings_.readiness_address),
        [this](const text_request& request)
        { return readiness_response(request); },
        memory_);
    if (!settings_.operator_address.empty())
    {
        operator_listener_ = std::make_unique<auxiliary_listener>(
            io_, open_acceptor(io_, settings_.operator_address),
            [this](const text_request& request)
            { return operators_response(request); },
            memory_);
    }
    start_peer_services();
    metrics_.gauge(
        "mangolink_open_requests",
        [this] { return static_cast<double>(context_.open_requests.size()); });
    metrics_.gauge(
        "mangolink_evacuated_zones", [this]
        { return static_cast<double>(state_.evacuations().all().size()); });
    metrics_.gauge("mangolink_cold_servers",
                   [this] {
                       return static_cast<double>(
                           state_.directory().cold(boot_clock::now()));
                   });
    metrics_.gauge("mangolink_received_bytes",
                   [this] { return static_cast<double>(memory_.used()); });
    metrics_.gauge("mangolink_received_bytes_limit",
                   [this] { return static_cast<double>(memory_.limit()); });
    metrics_.gauge(
        "mangolink_processor_seconds",
        [] { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; });
    metrics_.gauge("mangolink_open_callers", [this]
                   { return static_cast<double>(context_.open_callers); });
    metrics_.gauge("mangolink_idle_backend_connections",
                   [this] { return static_cast<double>(connections_.idle()); });
    metrics_.gauge("mangolink_prompt_tokens_unread",
                   [this] {
                       return state_.balancer().prompts().unread_tokens(
                           boot_clock::now());
                   });
    metrics_.gauge(
        "mangolink_prompt_tokens_per_ms", [this]
        { return 1 / state_.balancer().prompts().read_time(1).count(); });
    spawn_service(io_, "signals", [this] { return handle_signals(); });
    spawn_service(io_, "periodic tasks",
                  [this] { return run_periodic_tasks(); });
    spawn_service(io_, "log", [this] { return flush_log_loop(); });
}

gateway_server::~gateway_server()
{
    io_.destroy_pending_handlers();
}

void gateway_server::start_peer_services()
{
    if (settings_.peer_address.empty())
    {
        return;
    }
    peer_server_ = std::make_unique<peer_server>(io_, peers_.self().address,
                                                 stages_, updates_, memory_);
    heartbeats_ = std::make_unique<peer_heartbeats>(
        io_, peers_, stages_, prompts_, limits_, state_.balancer().prompts(),
        settings_.seeds, [this] { topology_changed(); }, metrics_);
    update_follower_ = std::make_unique<update_follower>(
        io_, state_, updater_, peers_, reader_activation_,
        backend_caller(io_, protocol_, connections_, nullptr, memory_),
        metrics_);
}

bool gateway_server::run()
{
    log_notice("gateway", "Started.",
               {{"callers", settings_.caller_address},
                {"zone", settings_.zone},
                {"store", settings_.store_address}});
    run_handlers(io_);
    log_notice(
        "gateway", "Stopped.",
        {{"open_requests", std::to_string(context_.open_requests.size())}});
    return all_requests_ended_;
}

std::size_t gateway_server::connection_limit(const backend_server& server)
{
    // Lower bound of the share: one call and the releases of its results.
    constexpr std::size_t min_connections = 4;
    const auto& configuration = state_.configuration();
    const auto* service =
        configuration ? configuration->find_service(server.service) : nullptr;
    if (service == nullptr)
    {
        return settings_
            .max_descriptors; // a peer gateway, not a backend server
    }
    const auto processes = peers_.size() + 1;
    return std::max(min_connections, service->max_connections / processes);
}

void gateway_server::remove_server(const std::string& server)
{
    connections_.forget(server);
    state_.balancer().forget(server);
    stages_.forget(server);
}

void gateway_server::on_reclaim(const memory_account& account)
{
    const char* holder = name_of(account.holder());
    metrics_
        .counter("mangolink_memory_reclaimed_total",
                 "holder=\"" + std::string(holder) + "\"")
        .add();
    log_warning("memory", "Received bytes were given up.",
                {{"holder", holder},
                 {"bytes", std::to_string(account.bytes())},
                 {"used", std::to_string(memory_.used())},
                 {"limit", std::to_string(memory_.limit())}});
}

void gateway_server::on_answer(const received_head& head)
{
    const backend_server& server = head.server;
    const answer_metadata& metadata = head.metadata;
    limits_.record_answer(head);
    if (metadata.server_leaving)
    {
        updater_.server_leaves(server);
    }
    if (metadata.hold &&
        state_.holds().hold(server, *metadata.hold, boot_clock::now()))
    {
        log_notice("directory", "Server held back at its request.",
                   {{"server", server.id},
                    {"service", server.service},
                    {"ms", std::to_string(metadata.hold->count())}});
    }
}

void gateway_server::topology_changed()
{
    stages_.topology_changed();
    updates_.changed();
    if (update_follower_)
    {
        update_follower_->peers_changed();
    }
}

void gateway_server::quarantine_changed(bool found_here)
{
    for (auto* request : context_.open_requests)
    {
        request->quarantine_changed();
    }
    if (found_here && heartbeats_)
    {
        heartbeats_->send_to_all();
    }
}

void gateway_server::accept_callers()
{
    caller_acceptor_ = std::make_shared<tcp::acceptor>(
        open_acceptor(io_, settings_.caller_address));
    spawn_service(io_, "accept loop",
                  [this] { return accept_loop(caller_acceptor_); });
}

void gateway_server::reject_requests()
{
    context_.rejecting_requests = true;
    // Closing the socket resets the connections that wait for acceptance.
    error_code error;
    caller_acceptor_->non_blocking(true, error);
    while (!error)
    {
        tcp::socket socket(io_);
        caller_acceptor_->accept(socket, error);
        if (!error)
        {
            serve_caller(std::move(socket));
        }
    }
    caller_acceptor_->close(error); // new connections are refused either way
}

asio::awaitable<void>
gateway_server::accept_loop(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (acceptor->is_open())
    {
        error_code error;
        tcp::socket socket(io_);
        co_await acceptor->async_accept(socket, redirect_to(error));
        if (error && !acceptor->is_open())
        {
            co_return;
        }
        if (error)
        {
            log_warning("gateway", "Accept failed.",
                        {{"reason", error.message()}});
            co_await pause(io_, accept_retry_delay);
            continue;
        }
        serve_caller(std::move(socket));
    }
}

void gateway_server::serve_caller(tcp::socket socket)
{
    const auto max_open_callers = static_cast<std::size_t>(
        caller_descriptor_share * settings_.max_descriptors);
    const auto max_refused_callers = static_cast<std::size_t>(
        refused_descriptor_share * settings_.max_descriptors);
    const bool refused = context_.open_callers >= max_open_callers;
    if (refused)
    {
        metrics_.counter("mangolink_callers_turned_away_total").add();
        log_warning("gateway", "Caller turned away.",
                    {{"open", std::to_string(context_.open_callers)}});
    }
    if (context_.open_callers >= max_refused_callers)
    {
        return;
    }
    auto session =
        std::make_shared<caller_session>(context_, std::move(socket), refused);
    // The lambda owns the session until the coroutine has ended.
    asio::co_spawn(
        io_, [session] { return session->run(); },
        failure_log("caller connection"));
}

text_response
gateway_server::readiness_response(const text_request& request) const
{
    const std::string_view target(request.target().data(),
                                  request.target().size());
    const bool known = target == protocol_.readiness_path();
    const bool ready = !context_.stopping && state_.ready(boot_clock::now());
    return {!known  ? http::status::not_found
            : ready ? http::status::ok
                    : http::status::service_unavailable,
            11};
}

text_response gateway_server::operators_response(const text_request& request)
{
    text_response response(http::status::ok, 11);
    if (request.target() == "/metrics")
    {
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = metrics_.page();
    }
    else if (request.target() == "/status")
    {
        response.set(http::field::content_type, "application/json");
        response.body() = status_text();
    }
    else if (request.target() == "/quarantine")
    {
        response.set(http::field::content_type, "application/json");
        response.body() = prompts_.status_text();
    }
    else if (request.target() == "/placement")
    {
        response.set(http::field::content_type, "application/json");
        response.body() = placement_page(state_, boot_clock::now());
    }
    else if (request.target() == "/limits")
    {
        response.set(http::field::content_type, "application/json");
        response.body() = limits_.status_text();
    }
    else
    {
        response.result(http::status::not_found);
    }
    return response;
}

std::string gateway_server::status_text() const
{
    const auto now = boot_clock::now();
    const auto age = state_.freshness().age(now);
    nlohmann::json status{
        {"name", settings_.name},
        {"ready", !context_.stopping && state_.ready(now)},
        {"stopping", context_.stopping},
        {"configuration", state_.configuration_version()},
        {"confirmed_ms_ago", age ? age->count() : -1},
        {"reads_platform", reader_activation_.is_active()},
        {"backend_servers", state_.directory().size()},
        {"evacuated_zones", state_.evacuations().all().size()},
        {"cold_servers", state_.directory().cold(now)},
        {"peers", peers_.size()},
        {"quarantined_parts", prompts_.size()},
        {"limited_servers", limits_.size()},
        {"open_requests", context_.open_requests.size()},
        {"open_callers", context_.open_callers}};
    return status.dump(2) + "\n";
}

asio::awaitable<void> gateway_server::handle_signals()
{
    while (true)
    {
        error_code error;
        const int number = co_await signals_.async_wait(redirect_to(error));
        if (error)
        {
            co_return;
        }
        if (number == SIGHUP)
        {
            reload();
            continue;
        }
        if (!context_.stopping)
        {
            context_.stopping = true;
            asio::co_spawn(io_, stop(), failure_log("stop"));
        }
    }
}

asio::awaitable<void> gateway_server::stop()
{
    const auto start_time = boot_clock::now();
    log_notice(
        "gateway", "Stopping.",
        {{"open_requests", std::to_string(context_.open_requests.size())},
         {"limit_ms", std::to_string(settings_.stop_limit.count())}});
    peers_.stop();
    if (heartbeats_)
    {
        heartbeats_->send_to_all();
    }
    const auto rejection_start = start_time + balancer_removal_delay;
    auto earliest_end = rejection_start + rejection_time;
    const auto latest_end = start_time + settings_.stop_limit - stop_reserve;
    context_.stop_limit = latest_end;
    auto now = start_time;
    auto last_pass = start_time;
    while (now < latest_end &&
           (last_pass < earliest_end || !context_.open_requests.empty() ||
            stages_.busy()))
    {
        last_pass = now; // what arrived before it is read by the end of it
        co_await pause(io_, periodic_interval / 5);
        now = boot_clock::now();
        if (now >= rejection_start && !context_.rejecting_requests)
        {
            // A request that starts now could not end before the limit.
            reject_requests();
            earliest_end = now + rejection_time;
        }
    }
    if (!context_.rejecting_requests)
    {
        reject_requests();
    }
    all_requests_ended_ = context_.open_requests.empty();
    for (auto* request : context_.open_requests)
    {
        request->stop_limit_reached();
    }
    const auto answers_end = now + last_answers_time;
    while (!context_.open_requests.empty() && now < answers_end)
    {
        co_await pause(io_, last_answers_interval);
        now = boot_clock::now();
    }
    io_.stop();
}

asio::awaitable<void> gateway_server::run_periodic_tasks()
{
    while (true)
    {
        co_await pause(io_, periodic_interval);
        const auto now = boot_clock::now();
        updater_.on_time(now);
        connections_.close_idle(now);
        prompts_.expire();
        limits_.update(peers_);
        state_.set_process_count(peers_.max_recent_processes(now));
        const bool ready = state_.ready(now);
        if (ready != was_ready_)
        {
            was_ready_ = ready;
            log_notice(
                "gateway", ready ? "Ready." : "Not ready.",
                {{"configuration",
                  state_.configuration()
                      ? std::to_string(state_.configuration()->version())
                      : "none"},
                 {"servers", std::to_string(state_.directory().size())}});
        }
    }
}

asio::awaitable<void> gateway_server::flush_log_loop()
{
    while (true)
    {
        co_await pause(io_, log_flush_interval);
        log_output_.flush();
        const auto dropped = log_output_.take_dropped_count();
        if (dropped > 0)
        {
            dropped_log_lines_.add(dropped);
            log_warning("gateway", "Log lines were dropped.",
                        {{"count", std::to_string(dropped)}});
        }
    }
}

void gateway_server::reload()
{
    try
    {
        const gateway_settings new_settings = reload_();
        settings_.seeds = new_settings.seeds;
        if (heartbeats_)
        {
            heartbeats_->set_seeds(new_settings.seeds);
        }
        settings_.stop_limit = new_settings.stop_limit;
        settings_.level = new_settings.level;
        state_.quarantine().set_enabled(new_settings.quarantine.enabled);
        configure_log(new_settings.level, settings_.name);
        log_notice(
            "gateway", "Settings read again.",
            {{"seeds", std::to_string(new_settings.seeds.size())},
             {"quarantine", new_settings.quarantine.enabled ? "on" : "off"}});
    }
    catch (const std::exception& error)
    {
        log_error(
            "gateway",
            "Settings could not be reloaded; the current ones stay in force.",
            {{"reason", error.what()}});
    }
}

} // namespace mangolink
