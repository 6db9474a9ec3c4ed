#pragma once

#include "base/metrics.hpp"
#include "base/nonblocking_output_buffer.hpp"
#include "connection/abortable_io_context.hpp"
#include "connection/asio_types.hpp"
#include "connection/backend_pool.hpp"
#include "connection/gateway_context.hpp"
#include "connection/prompt_guard.hpp"
#include "connection/region_refusals.hpp"
#include "connection/server_limit_guard.hpp"
#include "connection/stage_dispatcher.hpp"
#include "connection/store_reader_activation.hpp"
#include "connection/update_source.hpp"
#include "process/memory_budget.hpp"
#include "process/peer_directory.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"
#include "roles/gateway_state_updater.hpp"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mangolink
{

class auxiliary_listener;
class peer_server;
class peer_heartbeats;
class update_follower;

/// Gateway process: forwards callers' HTTP requests to backend servers over
/// HTTP. Everything runs on one thread.
class gateway_server final
{
public:
    /// Rereads the settings on SIGHUP; throws settings_error.
    using settings_loader = std::function<gateway_settings()>;

    gateway_server(gateway_settings settings, settings_loader reload,
                   const forward_protocol& protocol);
    ~gateway_server();

    gateway_server(const gateway_server&) = delete;
    gateway_server& operator=(const gateway_server&) = delete;

    /// Returns the updater that applies the data published by the platform.
    gateway_state_updater& updater() { return updater_; }

    /// Returns whether and when this process should read the platform's store.
    store_reader_activation& reader_activation() { return reader_activation_; }

    /// Returns the bound of the received bytes of all connections.
    memory_budget& memory() { return memory_; }

    asio::io_context& context() { return io_; }

    /// Serves until SIGTERM or SIGINT, then drains open requests; returns
    /// whether all of them ended before the stop limit.
    bool run();

private:
    std::size_t connection_limit(const backend_server& server);
    void remove_server(const std::string& server);
    void on_reclaim(const memory_account& account);
    void on_answer(const received_head& head);
    void topology_changed();
    void quarantine_changed(bool found_here);
    void accept_callers();
    /// Refuses requests from now on. Connections that wait are accepted first.
    void reject_requests();
    asio::awaitable<void> accept_loop(std::shared_ptr<tcp::acceptor> acceptor);
    void serve_caller(tcp::socket socket);
    text_response readiness_response(const text_request& request) const;
    text_response operators_response(const text_request& request);
    std::string status_text() const;
    asio::awaitable<void> handle_signals();
    asio::awaitable<void> run_periodic_tasks();
    asio::awaitable<void> flush_log_loop();
    asio::awaitable<void> stop();
    void start_peer_services();
    void reload();

    abortable_io_context io_{1};
    gateway_settings settings_;
    settings_loader reload_;
    const forward_protocol& protocol_;
    metrics_registry metrics_;
    memory_budget memory_;
    gateway_state state_;
    backend_pool connections_;
    peer_directory peers_;
    answer_listener listener_;
    stage_dispatcher stages_;
    prompt_guard prompts_;
    server_limit_guard limits_;
    region_refusals region_refusals_;
    gateway_state_updater updater_;
    gateway_context context_;
    std::shared_ptr<tcp::acceptor> caller_acceptor_;
    std::unique_ptr<auxiliary_listener> balancer_listener_;
    std::unique_ptr<auxiliary_listener> operator_listener_;
    store_reader_activation reader_activation_;
    update_source updates_;
    std::unique_ptr<update_follower> update_follower_;
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<peer_heartbeats> heartbeats_;
    asio::signal_set signals_;
    nonblocking_output_buffer log_output_;
    event_counter& dropped_log_lines_;
    bool was_ready_ = false;
    bool all_requests_ended_ = true;
};

} // namespace mangolink
