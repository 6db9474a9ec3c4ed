#include "connection/attempt_sender.hpp"

#include "base/log.hpp"
#include "connection/accepted_request.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/backend_pool.hpp"
#include "connection/forward_attempt.hpp"
#include "connection/gateway_context.hpp"
#include "connection/http_headers.hpp"
#include "connection/listening_socket.hpp"
#include "connection/prompt_guard.hpp"
#include "connection/request_check.hpp"
#include "connection/request_stages.hpp"
#include "connection/stream_forwarder.hpp"
#include "request/prompt_suspicion.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace mangolink
{
namespace
{

/// Connect timeout. A round trip between regions takes about 25 ms, and a full
/// accept queue drops the first packet.
constexpr milliseconds connect_limit{700};

/// Number of failed connects after which the search for a server ends.
constexpr std::uint32_t max_connect_failures = 4;

/// Number of sends of a request to the address of another server that are not
/// counted as attempts.
constexpr std::uint32_t max_misdirected_sends = 3;

/// A request can wait if it has more than this many times the typical time to
/// the first event.
constexpr int first_events_to_spare = 5;

/// A permit may become free earlier than expected.
constexpr milliseconds permit_check_interval{50};

} // namespace

attempt_sender::attempt_sender(gateway_context& context,
                               const text_request& request,
                               const accepted_request& accepted,
                               const stream_forwarder& stream)
    : context_(context), request_(request), accepted_(accepted), stream_(stream)
{
}

attempt_sender::~attempt_sender()
{
    for (const auto& [server, prompt] : prompts_)
    {
        context_.state.balancer().prompts().remove(prompt, boot_clock::now());
    }
}

asio::awaitable<attempt_sender::attempt_pointer>
attempt_sender::next(const request_stages* stages, std::function<bool()> wanted)
{
    auto& state = context_.state;
    const auto is_wanted = [&]
    {
        return wanted() && (stages == nullptr || stages->has_results()) &&
               !context_.prompts.is_quarantined(accepted_.metadata.prompt);
    };
    std::uint32_t unsent = 0;
    while (unsent < max_connect_failures && time_left() > min_time_left &&
           connect_time() > milliseconds(0) && is_wanted())
    {
        const auto wanted_server = preferences(stages);
        auto server = state.balancer().choose(servers(), wanted_server,
                                              boot_clock::now());
        if (!server && co_await wait_for_permit(stages))
        {
            continue;
        }
        auto permit = server
                          ? state.limits().acquire(*server, sender_role::chosen,
                                                   boot_clock::now())
                          : std::nullopt;
        if (!permit)
        {
            co_return nullptr;
        }
        start_send(*server, wanted_server);
        auto lease =
            co_await context_.connections.acquire(server, connect_time());
        if (!is_wanted())
        {
            end_unsent(server->id, send_outcome::cancelled);
            if (lease.connection)
            {
                context_.connections.release(server, lease.connection, {});
            }
            co_return nullptr;
        }
        if (lease.connection &&
            state.holds().is_held(*server, boot_clock::now()))
        {
            end_unsent(server->id, send_outcome::cancelled);
            context_.connections.release(server, lease.connection, {});
            continue;
        }
        // The server may have been removed, or its region withdrawn, while the
        // connection was opened.
        if (lease.connection && may_use(*server))
        {
            auto exchange = std::make_shared<backend_exchange>(
                server, lease.connection, std::move(*permit), context_.protocol,
                context_.listener, context_.memory,
                checked_request(*server, stages), accepted_.metadata.id);
            co_return std::make_unique<forward_attempt>(context_.io, server,
                                                        std::move(exchange));
        }
        ++unsent;
        // A sound server that is silent accepts connections again soon.
        const bool silent = lease.error == asio::error::timed_out;
        if (!silent || has_untried_server(server->id))
        {
            tried_servers_.push_back(server->id);
        }
        log_.push_back(server->id + (silent ? " silent" : " unreachable"));
        // A limit of this process says nothing about the server.
        const auto outcome = lease.error == asio::error::no_buffer_space
                                 ? send_outcome::cancelled
                                 : send_outcome::failed;
        end_unsent(server->id, outcome);
    }
    co_return nullptr;
}

void attempt_sender::return_unsent(const forward_attempt& attempt)
{
    end_unsent(attempt.server()->id, send_outcome::cancelled);
    context_.connections.release(attempt.server(),
                                 attempt.exchange()->connection(), {});
}

void attempt_sender::count(const forward_attempt& attempt)
{
    tried_servers_.push_back(attempt.server()->id);
    ++sends_;
    ++open_sends_;
}

void attempt_sender::record_head(const forward_attempt& attempt)
{
    const auto prompt = prompts_.find(attempt.server()->id);
    if (prompt != prompts_.end() && attempt.streams())
    {
        context_.state.balancer().prompts().record_output(prompt->second,
                                                          boot_clock::now());
    }
}

void attempt_sender::record(const forward_attempt& attempt, bool cancelled)
{
    const std::string& id = attempt.server()->id;
    --open_sends_;
    may_have_run_ = may_have_run_ || attempt.end() == attempt_outcome::broken ||
                    attempt.end() == attempt_outcome::answered;
    if (attempt.end() == attempt_outcome::inputs_gone)
    {
        // The same server may be used again with new stage results.
        std::erase(tried_servers_, id);
        --sends_;
    }
    else if (attempt.misdirected() &&
             ++misdirected_sends_ <= max_misdirected_sends)
    {
        --sends_; // it reached no server of the service
    }
    log_.push_back(attempt.text() + expectation_text(id));
    end_send(id, attempt.outcome(cancelled), attempt.first_byte());
    if (attempt.end() == attempt_outcome::broken && !cancelled)
    {
        record_broken(attempt);
    }
    // The server gets the request again, and a late copy of this answer would
    // pass for the next one. One that left meanwhile needs its connections no
    // more.
    if (attempt.end() != attempt_outcome::inputs_gone &&
        attempt.exchange()->reusable() && context_.state.directory().find(id))
    {
        context_.connections.release(attempt.server(),
                                     attempt.exchange()->connection(),
                                     attempt.exchange()->metadata().keep_alive);
    }
    else
    {
        attempt.exchange()->abort();
    }
}

bool attempt_sender::may_send_elsewhere() const
{
    return has_untried_server({}) && accepted_.route->is_retryable() &&
           sends_ < accepted_.route->max_attempts &&
           time_left() > min_time_left &&
           !context_.prompts.is_quarantined(accepted_.metadata.prompt) &&
           context_.state.retry_budget_of(accepted_.service)
               .available(boot_clock::now());
}

bool attempt_sender::has_untried_server(const std::string& except) const
{
    const auto& candidates = servers();
    const auto now = boot_clock::now();
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const auto& server)
                       {
                           return server->id != except &&
                                  std::find(tried_servers_.begin(),
                                            tried_servers_.end(), server->id) ==
                                      tried_servers_.end() &&
                                  context_.state.is_usable(*server, now);
                       });
}

asio::awaitable<bool>
attempt_sender::wait_for_permit(const request_stages* stages) const
{
    if (stages == nullptr && !stream_.begun())
    {
        co_return false;
    }
    const auto now = boot_clock::now();
    std::optional<milliseconds> first;
    for (const auto& server : servers())
    {
        const bool tried =
            std::find(tried_servers_.begin(), tried_servers_.end(),
                      server->id) != tried_servers_.end();
        const auto time = context_.state.time_until_usable(*server, now);
        if (!tried && time && context_.state.limits().limit_of(*server))
        {
            first = std::min(first.value_or(*time), *time);
        }
    }
    if (!first || *first >= time_left() - min_time_left)
    {
        co_return false;
    }
    co_await pause(context_.io,
                   std::clamp(*first, milliseconds(1), permit_check_interval));
    co_return true;
}

std::string attempt_sender::log_text() const
{
    return absl::StrJoin(log_, "; ");
}

void attempt_sender::record_broken(const forward_attempt& attempt) const
{
    log_notice("request", "Answer of a server broke off.",
               {{"id", accepted_.metadata.id},
                {"route", accepted_.route->name},
                {"server", attempt.server()->id},
                {"started_ms", std::to_string(attempt.server()->started_ms)},
                {"received", attempt.received()},
                {"end", attempt.connection_end()},
                {"prompt", accepted_.metadata.prompt.text()}});
    if (attempt.ended_by_server())
    {
        context_.prompts.record_crash(
            accepted_.metadata.prompt, *attempt.server(),
            attempt.has_output() ? crash_phase::amid_answer
                                 : crash_phase::before_output,
            attempt.time_since_send());
    }
}

void attempt_sender::start_send(const backend_server& server,
                                const server_preferences& wanted)
{
    auto& balancer = context_.state.balancer();
    balancer.send_started(server.id);
    if (wanted.weighs_prompts)
    {
        prompts_[server.id] =
            balancer.prompt_sent(server, wanted, boot_clock::now());
    }
}

void attempt_sender::end_send(const std::string& server, send_outcome outcome,
                              milliseconds first_byte)
{
    auto& balancer = context_.state.balancer();
    const auto now = boot_clock::now();
    balancer.send_ended(server, outcome, first_byte, now);
    const auto prompt = prompts_.find(server);
    if (prompt != prompts_.end())
    {
        balancer.prompts().remove(prompt->second, now);
        prompts_.erase(prompt);
    }
}

void attempt_sender::end_unsent(const std::string& server, send_outcome outcome)
{
    end_send(server, outcome, {});
}

std::string attempt_sender::expectation_text(const std::string& server) const
{
    const auto prompt = prompts_.find(server);
    return prompt == prompts_.end()
               ? ""
               : absl::StrFormat(" expected %.0f ms for %.0f tokens",
                                 prompt->second.expected.count(),
                                 prompt->second.tokens);
}

text_request attempt_sender::checked_request(const backend_server& server,
                                             const request_stages* stages)
{
    try
    {
        return backend_request(server, stages);
    }
    catch (...)
    {
        end_unsent(server.id, send_outcome::cancelled);
        throw;
    }
}

text_request attempt_sender::backend_request(const backend_server& server,
                                             const request_stages* stages) const
{
    text_request result;
    result.base() = request_.base();
    remove_hop_by_hop_headers(result);
    backend_metadata metadata;
    metadata.server_id = server.id;
    metadata.time_left = std::max(time_left(), milliseconds(1));
    metadata.priority = accepted_.route->priority;
    if (accepted_.customer != nullptr)
    {
        metadata.customer = accepted_.customer->name;
        metadata.priority =
            accepted_.customer->priority.value_or(accepted_.route->priority);
    }
    if (stages != nullptr)
    {
        for (const auto& input : stages->results())
        {
            metadata.stage_results.push_back(input.handle);
        }
    }
    if (stream_.begun())
    {
        metadata.last_event = stream_.last_event();
    }
    context_.protocol.write_request(result, metadata);
    result.version(11);
    result.body() = request_.body();
    result.prepare_payload();
    return result;
}

server_preferences
attempt_sender::preferences(const request_stages* stages) const
{
    server_preferences result;
    result.affinity =
        accepted_.route->has_affinity ? accepted_.metadata.affinity : 0;
    const auto& metadata = accepted_.metadata;
    result.shared_tokens = metadata.shared_tokens;
    result.own_tokens =
        metadata.prompt_tokens -
        std::min(metadata.prompt_tokens, metadata.shared_tokens);
    result.max_pause = accepted_.route->gap_objective;
    result.weighs_prompts =
        context_.settings.weighs_prompts && metadata.prompt_tokens > 0;
    result.excluded = tried_servers_;
    const auto now = boot_clock::now();
    for (const auto& server : servers())
    {
        if (!context_.state.is_usable(*server, now))
        {
            result.excluded.push_back(server->id);
        }
        else if (context_.state.limits().is_cold_limited(*server, now))
        {
            result.cold.push_back(server->id);
        }
        else if (context_.state.limits().limit_of(*server))
        {
            result.limited.push_back(server->id);
        }
    }
    result.can_wait =
        accepted_.arrival + accepted_.route->latency_objective - now >
        expected_first_event_time * first_events_to_spare;
    result.bytes = request_.body().size();
    if (stages == nullptr)
    {
        return result;
    }
    for (const auto& input : stages->results())
    {
        const auto result_server = context_.state.directory().find_address(
            context_.protocol.result_server(input.handle));
        if (result_server)
        {
            result.bytes_in_zone[result_server->zone] += input.bytes;
        }
    }
    return result;
}

milliseconds attempt_sender::connect_time() const
{
    const auto result = std::min(connect_limit, time_left());
    return context_.stop_limit
               ? std::min(result, std::chrono::duration_cast<milliseconds>(
                                      *context_.stop_limit - boot_clock::now()))
               : result;
}

const std::vector<std::shared_ptr<const backend_server>>&
attempt_sender::servers() const
{
    return context_.state.directory().servers(accepted_.service,
                                              context_.regions_of(accepted_));
}

bool attempt_sender::may_use(const backend_server& server) const
{
    return context_.state.directory().find(server.id) &&
           context_.state.regions().contains(context_.regions_of(accepted_),
                                             server.zone);
}

milliseconds attempt_sender::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(accepted_.deadline -
                                                    boot_clock::now());
}

} // namespace mangolink
