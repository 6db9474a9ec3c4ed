#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "request/prompt_work.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

class forward_attempt;
class request_stages;
class stream_forwarder;
struct accepted_request;
struct backend_server;
struct gateway_context;
struct server_preferences;
enum class send_outcome : std::uint8_t;

/// Prepares the attempts of one request: chooses a server that was not tried,
/// connects to it, and keeps the record of what was sent. Used by one thread.
class attempt_sender final
{
public:
    using attempt_pointer = std::unique_ptr<forward_attempt>;

    /// The references must outlive this object.
    attempt_sender(gateway_context& context, const text_request& request,
                   const accepted_request& accepted,
                   const stream_forwarder& stream);
    ~attempt_sender();

    /// Connects to a server. Returns an attempt that is not sent yet, or null
    /// if there is no server, `wanted` becomes false or the results of `stages`
    /// are missing. `stages`: those whose results the server will read, or
    /// null.
    asio::awaitable<attempt_pointer> next(const request_stages* stages,
                                          std::function<bool()> wanted);

    /// Returns the connection of an attempt that will not be sent.
    void return_unsent(const forward_attempt& attempt);

    /// Counts an attempt that is about to be sent.
    void count(const forward_attempt& attempt);

    /// Records that the head of an answer came, which a server sends with its
    /// first event.
    void record_head(const forward_attempt& attempt);

    /// Records the outcome of a sent attempt and returns or closes its
    /// connection. `cancelled`: it ended for a reason unrelated to the server.
    void record(const forward_attempt& attempt, bool cancelled);

    /// Returns whether the request can be sent to a server that was not tried.
    bool may_send_elsewhere() const;

    /// Excludes the servers that were tried or may get no request now.
    server_preferences preferences(const request_stages* stages) const;

    /// Returns the number of attempts written to a connection.
    std::uint32_t sends() const { return sends_; }

    /// Returns whether any attempt may have run, or may yet.
    bool may_have_run() const { return may_have_run_ || open_sends_ > 0; }

    /// Returns the servers tried and the outcomes there, for the log.
    std::string log_text() const;

private:
    /// Like backend_request(); ends the send at the balancer if that throws.
    text_request checked_request(const backend_server& server,
                                 const request_stages* stages);
    text_request backend_request(const backend_server& server,
                                 const request_stages* stages) const;
    bool has_untried_server(const std::string& except) const;

    /// Waits for a server whose rate limit is reached, if stages were made or
    /// a stream was begun for the request. Returns false if that is of no use.
    asio::awaitable<bool> wait_for_permit(const request_stages* stages) const;
    void record_broken(const forward_attempt& attempt) const;
    void start_send(const backend_server& server,
                    const server_preferences& wanted);
    void end_send(const std::string& server, send_outcome outcome,
                  milliseconds first_byte);
    void end_unsent(const std::string& server, send_outcome outcome);
    std::string expectation_text(const std::string& server) const;
    /// Returns the servers that the request may be sent to now.
    const std::vector<std::shared_ptr<const backend_server>>& servers() const;
    bool may_use(const backend_server& server) const;
    milliseconds time_left() const;

    /// Returns the limit of a connect; one in progress can't be aborted.
    milliseconds connect_time() const;

    gateway_context& context_;
    const text_request& request_;
    const accepted_request& accepted_;
    const stream_forwarder& stream_;
    std::vector<std::string> tried_servers_; ///< by id
    absl::flat_hash_map<std::string, sent_prompt>
        prompts_;                  ///< sent and not ended, by server
    std::vector<std::string> log_; ///< one entry per attempt
    std::uint32_t sends_ = 0;
    std::uint32_t open_sends_ = 0; ///< whose outcome is not recorded yet
    std::uint32_t misdirected_sends_ = 0;
    bool may_have_run_ = false;
};

} // namespace mangolink
