#include "connection/forward_run.hpp"

#include "connection/backend_exchange.hpp"
#include "connection/backend_pool.hpp"
#include "connection/gateway_context.hpp"
#include "connection/http_headers.hpp"
#include "connection/request_check.hpp"
#include "connection/request_record.hpp"
#include "connection/request_stages.hpp"
#include "connection/response_writer.hpp"
#include "connection/scoped_timeout.hpp"
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

/// Number of failed connects after which a request fails.
constexpr std::uint32_t max_connect_failures = 4;

/// Time added to the deadline before a request is ended, so that an answer that
/// the server sends at the deadline is still delivered.
constexpr milliseconds deadline_grace{60};

/// Share of the time left after which an attempt without a first byte is ended
/// while a retry is possible, and the lower limits of that time.
constexpr double first_attempt_share = 0.45;
constexpr milliseconds min_first_byte_wait{300};
constexpr milliseconds min_stream_wait{1500};

/// A resumable stream moves to another server after a gap of this multiple of
/// the route's gap objective.
constexpr int max_gap_factor = 3;

} // namespace

forward_run::forward_run(gateway_context& context, response_writer& channel,
                         text_request request, boot_clock::time_point arrival)
    : context_(context), channel_(channel), request_(std::move(request))
{
    accepted_.arrival = arrival;
    accepted_.deadline = arrival;
    ++context_.open_requests;
    context_.body_bytes += request_.body().size();
}

forward_run::~forward_run()
{
    --context_.open_requests;
    context_.body_bytes -= request_.body().size();
}

asio::awaitable<void> forward_run::serve()
{
    const auto self = shared_from_this();
    request_check check(context_, request_, accepted_.arrival);
    auto details = check.run();
    accepted_ = check.result();
    if (details)
    {
        co_await refuse(std::move(*details));
        co_return;
    }
    stream_.emplace(channel_, context_.protocol, accepted_.metadata.last_event);
    const scoped_timeout guard(context_.io, time_left() + deadline_grace,
                               [this]
                               {
                                   timed_out_ = true;
                                   stop_waiting();
                               });
    prepare_stages();
    if (!stages_ || co_await run_stages())
    {
        co_await send_until_answered();
    }
    if (stages_)
    {
        stages_->finish();
    }
}

void forward_run::caller_left()
{
    caller_gone_ = true;
    stop_waiting();
}

void forward_run::stop_waiting()
{
    if (stages_)
    {
        stages_->stop();
    }
    if (exchange_)
    {
        exchange_->abort();
    }
}

void forward_run::prepare_stages()
{
    if (accepted_.route->stages.empty())
    {
        return;
    }
    const auto wanted = preferences();
    const auto engine = context_.state.balancer().choose(
        context_.state.directory().servers(accepted_.service), wanted,
        boot_clock::now());
    stages_parameters parameters;
    parameters.request_id = accepted_.metadata.id;
    parameters.item_key = accepted_.metadata.item_key;
    parameters.deadline = accepted_.deadline;
    parameters.due =
        std::min(accepted_.deadline,
                 accepted_.arrival + accepted_.route->latency_objective) -
        expected_first_event_time;
    parameters.preferred_zone = engine ? engine->zone : "";
    parameters.preference = direct_balancer::affinity_gain(wanted);
    stages_ = std::make_shared<request_stages>(
        context_.io, context_.stages, *accepted_.route,
        accepted_.metadata.item_counts, std::move(parameters));
}

asio::awaitable<bool> forward_run::run_stages()
{
    const bool made = co_await stages_->execute();
    if (!caller_gone_)
    {
        context_.state.stage_times().add_sample(
            accepted_.route->name, accepted_.uncorrected_stages_time,
            stages_->time());
    }
    if (made)
    {
        co_return true;
    }
    std::string reason = stages_->failure();
    if (caller_gone_)
    {
        end(0, "caller left during stages");
    }
    else if (stream_->begun())
    {
        cut(reason);
    }
    else if (may_have_run_)
    {
        co_await fail(std::move(reason));
    }
    else
    {
        refusal details{http::status::service_unavailable, std::move(reason),
                        retry_soon};
        co_await refuse(std::move(details));
    }
    co_return false;
}

asio::awaitable<void> forward_run::send_until_answered()
{
    bool continues = true;
    while (continues)
    {
        const auto attempt = co_await next_attempt();
        if (attempt)
        {
            co_await run_attempt(*attempt);
        }
        if (caller_gone_)
        {
            end(0, "caller left");
            co_return;
        }
        const auto step = choose_next_step(attempt.get());
        continues = co_await perform_step(step, attempt.get());
    }
}

asio::awaitable<bool> forward_run::perform_step(next_step step,
                                                forward_attempt* last)
{
    switch (step)
    {
    case next_step::deliver:
        co_await deliver(*last);
        break;
    case next_step::refuse:
    {
        refusal details{http::status::service_unavailable, "no server",
                        retry_soon};
        details.reason = last != nullptr ? "server refused" : details.reason;
        co_await refuse(std::move(details));
        break;
    }
    case next_step::fail:
    {
        std::string reason = timed_out_ ? "deadline" : "no complete answer";
        co_await fail(std::move(reason));
        break;
    }
    case next_step::cut:
        cut(timed_out_ ? "deadline" : "stream broke off");
        break;
    case next_step::retry:
    case next_step::resume:
        if (!stages_ || (!inputs_gone_ && step == next_step::retry))
        {
            co_return true;
        }
        // Results are lost, or were released when the stream began.
        inputs_gone_ = false;
        stages_->restart();
        co_return co_await run_stages();
    }
    co_return false;
}

next_step forward_run::choose_next_step(const forward_attempt* last)
{
    request_progress progress;
    progress.sends = sends_;
    progress.may_have_run = may_have_run_;
    progress.answer_begun = stream_->begun();
    progress.time_left =
        last != nullptr && !timed_out_ && time_left() > min_time_left;
    progress.server_failure = last != nullptr && last->server_failure();
    const auto end = last != nullptr ? last->end() : attempt_outcome::unsent;
    const auto step = decide_next(*accepted_.route, end, progress, true);
    const bool repeats = step == next_step::retry || step == next_step::resume;
    if (repeats && !context_.state.retry_budget_of(accepted_.service)
                        .try_acquire(boot_clock::now()))
    {
        return decide_next(*accepted_.route, end, progress, false);
    }
    return step;
}

asio::awaitable<std::unique_ptr<forward_attempt>> forward_run::next_attempt()
{
    auto& state = context_.state;
    while (unsent_ < max_connect_failures && time_left() > min_time_left &&
           !timed_out_)
    {
        auto server = state.balancer().choose(
            state.directory().servers(accepted_.service), preferences(),
            boot_clock::now());
        if (!server)
        {
            co_return nullptr;
        }
        state.balancer().send_started(server->id);
        const milliseconds limit = std::min(connect_limit, time_left());
        auto lease = co_await context_.connections.acquire(server, limit);
        if (caller_gone_ || timed_out_)
        {
            state.balancer().send_ended(server->id, send_outcome::cancelled, {},
                                        boot_clock::now());
            co_return nullptr;
        }
        // The server may have been removed while the connection was opened.
        if (lease.connection && state.directory().find(server->id))
        {
            auto exchange = std::make_shared<backend_exchange>(
                lease.connection, context_.protocol, backend_request(*server),
                accepted_.metadata.id);
            co_return std::make_unique<forward_attempt>(context_.io, server,
                                                        std::move(exchange));
        }
        ++unsent_;
        tried_servers_.push_back(server->id);
        attempt_log_.push_back(server->id + " unreachable");
        state.balancer().send_ended(server->id, send_outcome::failed, {},
                                    boot_clock::now());
    }
    co_return nullptr;
}

asio::awaitable<void> forward_run::run_attempt(forward_attempt& attempt)
{
    exchange_ = attempt.exchange();
    const std::string& id = attempt.server()->id;
    tried_servers_.push_back(id);
    ++sends_;
    const attempt_limits time_limits = limits();
    const std::function<void()> on_first_event = [this]
    {
        // The server has read the stage results.
        if (stages_)
        {
            stages_->restart();
        }
    };
    co_await attempt.run(time_limits, *stream_, on_first_event);
    exchange_.reset();
    caller_gone_ = caller_gone_ || attempt.caller_gone();
    may_have_run_ = may_have_run_ || attempt.end() == attempt_outcome::broken ||
                    attempt.end() == attempt_outcome::answered;
    inputs_gone_ = attempt.end() == attempt_outcome::inputs_gone;
    if (inputs_gone_)
    {
        // The same server may be used again with new stage results.
        tried_servers_.pop_back();
        --sends_;
    }
    context_.state.balancer().send_ended(id, attempt.outcome(caller_gone_),
                                         attempt.first_byte(),
                                         boot_clock::now());
    attempt_log_.push_back(attempt.text());
    if (attempt.exchange()->reusable())
    {
        context_.connections.release(id, attempt.exchange()->connection(),
                                     attempt.exchange()->metadata().keep_alive);
    }
    else
    {
        attempt.exchange()->abort();
    }
}

text_request forward_run::backend_request(const backend_server& server) const
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
    if (stages_)
    {
        for (const auto& input : stages_->results())
        {
            metadata.stage_results.push_back(input.handle);
        }
    }
    if (stream_->begun())
    {
        metadata.last_event = stream_->last_event();
    }
    context_.protocol.write_request(result, metadata);
    result.version(11);
    result.body() = request_.body();
    result.prepare_payload();
    return result;
}

server_preferences forward_run::preferences() const
{
    server_preferences result;
    result.affinity =
        accepted_.route->has_affinity ? accepted_.metadata.affinity : 0;
    result.shared_tokens = accepted_.metadata.shared_tokens;
    result.excluded = tried_servers_;
    result.bytes = request_.body().size();
    if (!stages_)
    {
        return result;
    }
    for (const auto& input : stages_->results())
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

attempt_limits forward_run::limits() const
{
    const auto remaining = time_left();
    attempt_limits result{remaining + deadline_grace * 2,
                          remaining + deadline_grace * 2,
                          [this] { return may_send_elsewhere(); }};
    if (accepted_.route->is_retryable())
    {
        const auto min_wait = accepted_.route->kind == route_kind::streaming
                                  ? min_stream_wait
                                  : min_first_byte_wait;
        const auto share = std::chrono::duration_cast<milliseconds>(
            remaining * first_attempt_share);
        result.first_byte = std::max(min_wait, share);
    }
    if (accepted_.route->resumable &&
        accepted_.route->gap_objective.count() > 0)
    {
        result.between_events = std::max(
            accepted_.route->gap_objective * max_gap_factor, min_stream_wait);
    }
    return result;
}

bool forward_run::may_send_elsewhere() const
{
    const auto& servers = context_.state.directory().servers(accepted_.service);
    const bool has_server = std::any_of(
        servers.begin(), servers.end(),
        [this](const auto& server)
        {
            return std::find(tried_servers_.begin(), tried_servers_.end(),
                             server->id) == tried_servers_.end();
        });
    return has_server && accepted_.route->is_retryable() &&
           sends_ < accepted_.route->max_attempts &&
           time_left() > min_time_left &&
           context_.state.retry_budget_of(accepted_.service)
               .available(boot_clock::now());
}

milliseconds forward_run::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(accepted_.deadline -
                                                    boot_clock::now());
}

asio::awaitable<void> forward_run::deliver(forward_attempt& attempt)
{
    bool complete = false;
    if (stream_->begun())
    {
        complete = co_await channel_.end_stream();
    }
    else
    {
        text_response response;
        response.base() = attempt.exchange()->head();
        remove_hop_by_hop_headers(response);
        response.body() = attempt.take_body();
        complete = co_await channel_.write_response(std::move(response));
    }
    end(complete ? attempt.status() : 0, complete ? "complete" : "caller left");
}

asio::awaitable<void> forward_run::refuse(refusal details)
{
    text_response response(details.status, 11);
    if (details.retry_delay.count() > 0)
    {
        const std::chrono::duration<double> wait = details.retry_delay;
        response.set(http::field::retry_after,
                     absl::StrFormat("%.3f", wait.count()));
    }
    co_await write_own_answer(std::move(response), std::move(details.reason));
}

asio::awaitable<void> forward_run::fail(std::string reason)
{
    const auto status =
        timed_out_ ? http::status::gateway_timeout : http::status::bad_gateway;
    text_response response(status, 11);
    co_await write_own_answer(std::move(response), std::move(reason));
}

asio::awaitable<void> forward_run::write_own_answer(text_response response,
                                                    std::string reason)
{
    ended_ = true;
    const auto status = response.result_int();
    const bool delivered =
        co_await channel_.write_response(std::move(response));
    end(delivered ? status : 0,
        delivered ? std::move(reason)
                  : reason + ", " + std::to_string(status) + " not delivered");
}

void forward_run::cut(const std::string& reason)
{
    end(0, reason);
    channel_.cut();
}

void forward_run::end(unsigned status, std::string reason)
{
    ended_ = true;
    request_end summary;
    summary.status = status;
    summary.reason = std::move(reason);
    summary.attempts = absl::StrJoin(attempt_log_, "; ");
    summary.stages = stages_ ? std::optional(stages_->time()) : std::nullopt;
    summary.confirmed = context_.state.freshness().age(boot_clock::now());
    record_request_end(context_.metrics, accepted_, summary);
}

} // namespace mangolink
