#pragma once

#include "base/bounded_output.hpp"
#include "base/metrics.hpp"
#include "connection/asio_types.hpp"
#include "connection/backend_pool.hpp"
#include "connection/closing_context.hpp"
#include "connection/gateway_context.hpp"
#include "connection/stage_dispatcher.hpp"
#include "connection/store_reader_activation.hpp"
#include "connection/update_source.hpp"
#include "process/peer_directory.hpp"
#include "roles/gateway_feed.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mangolink
{

class peer_server;
class peer_heartbeats;
class update_follower;

/// A gateway: forwards callers' requests to backend servers, over HTTP on both
/// sides, on one thread.
class gateway_server final
{
public:
    /// Reads the settings again after SIGHUP; throws settings_error.
    using settings_source = std::function<gateway_settings()>;

    gateway_server(gateway_settings settings, settings_source reload,
                   const forward_protocol& protocol);
    ~gateway_server();

    gateway_server(const gateway_server&) = delete;
    gateway_server& operator=(const gateway_server&) = delete;

    /// Takes what a platform publishes.
    gateway_feed& feed() { return feed_; }

    /// Tells when the platform should be read.
    store_reader_activation& turn() { return turn_; }

    asio::io_context& context() { return io_; }

    /// Serves until SIGTERM or SIGINT and the end of open requests; returns
    /// whether all of them ended.
    bool run();

private:
    using handler = std::function<text_response(const text_request&)>;

    std::size_t connection_share(const backend_server& server);
    void forget(const std::string& server);
    void topology_changed();
    void accept_callers();
    void close_listener();
    asio::awaitable<void> accept_loop(std::shared_ptr<tcp::acceptor> acceptor);
    asio::awaitable<void> serve_side(std::shared_ptr<tcp::acceptor> acceptor,
                                     handler handle);
    asio::awaitable<void> answer_side(tcp::socket socket, handler handle);
    void open_side(const std::string& address, handler handle);
    text_response readiness_answer(const text_request& request) const;
    text_response operators_answer(const text_request& request) const;
    std::string status_text() const;
    asio::awaitable<void> follow_signals();
    asio::awaitable<void> keep_time();
    asio::awaitable<void> write_log();
    asio::awaitable<void> stop();
    void open_to_peers();
    void reload();

    closing_context io_{1};
    gateway_settings settings_;
    settings_source reload_;
    const forward_protocol& protocol_;
    metrics_registry metrics_;
    gateway_state state_;
    backend_pool connections_;
    peer_directory peers_;
    stage_dispatcher stages_;
    gateway_feed feed_;
    gateway_context context_;
    std::shared_ptr<tcp::acceptor> callers_;
    store_reader_activation turn_;
    update_source updates_;
    std::unique_ptr<update_follower> follower_;
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<peer_heartbeats> beats_;
    asio::signal_set signals_;
    bounded_output log_output_;
    event_counter& log_dropped_;
    bool was_ready_ = false;
    bool all_ended_ = true;
};

} // namespace mangolink
