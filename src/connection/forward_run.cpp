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

/// Longest time to connect to a server; a round trip between regions takes
/// some 25 ms and a full queue of connections drops the first packet.
constexpr milliseconds connect_limit{700};

/// Servers that could not be connected to before a request is given up.
constexpr std::uint32_t most_unsent = 4;

/// A request that is given up by its deadline is ended this much later, so
/// that the server's own answer at the deadline still counts.
constexpr milliseconds deadline_reserve{60};

/// Part of the time left that the first server may take when another could
/// still answer, and the least such time.
constexpr double first_server_share = 0.45;
constexpr milliseconds least_plain_wait{300};
constexpr milliseconds least_stream_wait{1500};

/// A stream that may be resumed is taken from a server that is silent for
/// this many times the longest pause allowed.
constexpr int silent_gaps = 3;

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
    auto why = check.run();
    accepted_ = check.result();
    if (why)
    {
        co_await refuse(std::move(*why));
        co_return;
    }
    stream_.emplace(channel_, context_.protocol, accepted_.facts.last_event);
    const scoped_timeout guard(context_.io, time_left() + deadline_reserve,
                               [this]
                               {
                                   timed_out_ = true;
                                   stop_waiting();
                               });
    prepare_stages();
    if (!stages_ || co_await make_stages())
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
    const auto wanted = wish();
    const auto engine = context_.state.balancer().choose(
        context_.state.directory().servers(accepted_.service), wanted,
        boot_clock::now());
    stages_purpose purpose;
    purpose.request_id = accepted_.facts.id;
    purpose.piece_key = accepted_.facts.piece_key;
    purpose.deadline = accepted_.deadline;
    purpose.due =
        std::min(accepted_.deadline,
                 accepted_.arrival + accepted_.route->latency_objective) -
        engine_time;
    purpose.preferred_zone = engine ? engine->zone : "";
    purpose.preference = direct_balancer::affinity_gain(wanted);
    stages_ = std::make_shared<request_stages>(
        context_.io, context_.stages, *accepted_.route,
        accepted_.facts.piece_counts, std::move(purpose));
}

asio::awaitable<bool> forward_run::make_stages()
{
    const bool made = co_await stages_->make();
    if (!caller_gone_)
    {
        context_.state.stage_times().learn(
            accepted_.route->name, accepted_.stages_plain, stages_->time());
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
        refusal why{http::status::service_unavailable, std::move(reason),
                    return_soon};
        co_await refuse(std::move(why));
    }
    co_return false;
}

asio::awaitable<void> forward_run::send_until_answered()
{
    bool goes_on = true;
    while (goes_on)
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
        const auto step = decide(attempt.get());
        goes_on = co_await take_step(step, attempt.get());
    }
}

asio::awaitable<bool> forward_run::take_step(next_step step,
                                             forward_attempt* last)
{
    switch (step)
    {
    case next_step::deliver:
        co_await deliver(*last);
        break;
    case next_step::refuse:
    {
        refusal why{http::status::service_unavailable, "no server",
                    return_soon};
        why.reason = last != nullptr ? "server refused" : why.reason;
        co_await refuse(std::move(why));
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
    case next_step::send_again:
    case next_step::resume:
        if (!stages_ || (!inputs_gone_ && step == next_step::send_again))
        {
            co_return true;
        }
        // Results are gone, or were given up when the stream began.
        inputs_gone_ = false;
        stages_->restart();
        co_return co_await make_stages();
    }
    co_return false;
}

next_step forward_run::decide(const forward_attempt* last)
{
    request_progress progress;
    progress.sends = sends_;
    progress.may_have_run = may_have_run_;
    progress.answer_begun = stream_->begun();
    progress.time_left =
        last != nullptr && !timed_out_ && time_left() > least_time;
    progress.server_failure = last != nullptr && last->server_failure();
    const auto end = last != nullptr ? last->end() : attempt_end::unsent;
    const auto step = decide_next(*accepted_.route, end, progress, true);
    const bool repeats =
        step == next_step::send_again || step == next_step::resume;
    if (repeats &&
        !context_.state.allowance(accepted_.service).take(boot_clock::now()))
    {
        return decide_next(*accepted_.route, end, progress, false);
    }
    return step;
}

asio::awaitable<std::unique_ptr<forward_attempt>> forward_run::next_attempt()
{
    auto& state = context_.state;
    while (unsent_ < most_unsent && time_left() > least_time && !timed_out_)
    {
        auto server = state.balancer().choose(
            state.directory().servers(accepted_.service), wish(),
            boot_clock::now());
        if (!server)
        {
            co_return nullptr;
        }
        state.balancer().began(server->id);
        const milliseconds limit = std::min(connect_limit, time_left());
        auto lease = co_await context_.connections.acquire(server, limit);
        if (caller_gone_ || timed_out_)
        {
            state.balancer().ended(server->id, send_outcome::withdrawn, {},
                                   boot_clock::now());
            co_return nullptr;
        }
        // A server may have begun to leave while the connection was made.
        if (lease.connection && state.directory().find(server->id))
        {
            auto exchange = std::make_shared<backend_exchange>(
                lease.connection, context_.protocol, backend_request(*server),
                accepted_.facts.id);
            co_return std::make_unique<forward_attempt>(context_.io, server,
                                                        std::move(exchange));
        }
        ++unsent_;
        tried_.push_back(server->id);
        history_.push_back(server->id + " unreachable");
        state.balancer().ended(server->id, send_outcome::failed, {},
                               boot_clock::now());
    }
    co_return nullptr;
}

asio::awaitable<void> forward_run::run_attempt(forward_attempt& attempt)
{
    exchange_ = attempt.exchange();
    const std::string& id = attempt.server()->id;
    tried_.push_back(id);
    ++sends_;
    co_await attempt.run(limits(), *stream_,
                         [this]
                         {
                             // The server has read the stages' results.
                             if (stages_)
                             {
                                 stages_->restart();
                             }
                         });
    exchange_.reset();
    caller_gone_ = caller_gone_ || attempt.caller_gone();
    may_have_run_ = may_have_run_ || attempt.end() == attempt_end::broken ||
                    attempt.end() == attempt_end::answered;
    inputs_gone_ = attempt.end() == attempt_end::inputs_gone;
    if (inputs_gone_)
    {
        // The same server may be asked again, with results made anew.
        tried_.pop_back();
        --sends_;
    }
    context_.state.balancer().ended(id, attempt.outcome(caller_gone_),
                                    attempt.first_byte(), boot_clock::now());
    history_.push_back(attempt.text());
    if (attempt.exchange()->reusable())
    {
        context_.connections.release(id, attempt.exchange()->connection(),
                                     attempt.exchange()->facts().keep_alive);
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
    backend_facts facts;
    facts.server_id = server.id;
    facts.time_left = std::max(time_left(), milliseconds(1));
    facts.priority = accepted_.route->priority;
    if (accepted_.customer != nullptr)
    {
        facts.customer = accepted_.customer->name;
        facts.priority =
            accepted_.customer->priority.value_or(accepted_.route->priority);
    }
    if (stages_)
    {
        for (const auto& row : stages_->results())
        {
            facts.stage_results.push_back(row.handle);
        }
    }
    if (stream_->begun())
    {
        facts.last_event = stream_->last_event();
    }
    context_.protocol.write_request(result, facts);
    result.version(11);
    result.body() = request_.body();
    result.prepare_payload();
    return result;
}

server_wish forward_run::wish() const
{
    server_wish result;
    result.affinity =
        accepted_.route->has_affinity ? accepted_.facts.affinity : 0;
    result.shared_tokens = accepted_.facts.shared_tokens;
    result.excluded = tried_;
    result.bytes = request_.body().size();
    if (!stages_)
    {
        return result;
    }
    for (const auto& row : stages_->results())
    {
        const auto keeper = context_.state.directory().find_address(
            context_.protocol.keeper(row.handle));
        if (keeper)
        {
            result.bytes_in_zone[keeper->zone] += row.bytes;
        }
    }
    return result;
}

attempt_limits forward_run::limits() const
{
    const auto left = time_left();
    attempt_limits result{left + deadline_reserve * 2,
                          left + deadline_reserve * 2};
    if (accepted_.route->may_repeat() && sends_ < accepted_.route->max_attempts)
    {
        const auto least = accepted_.route->kind == route_kind::streaming
                               ? least_stream_wait
                               : least_plain_wait;
        const auto share =
            std::chrono::duration_cast<milliseconds>(left * first_server_share);
        result.first_byte = std::max(least, share);
    }
    if (accepted_.route->resumable &&
        accepted_.route->gap_objective.count() > 0)
    {
        result.between_events = std::max(
            accepted_.route->gap_objective * silent_gaps, least_stream_wait);
    }
    return result;
}

milliseconds forward_run::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(accepted_.deadline -
                                                    boot_clock::now());
}

asio::awaitable<void> forward_run::deliver(forward_attempt& attempt)
{
    bool whole = false;
    if (stream_->begun())
    {
        whole = co_await channel_.end_stream();
    }
    else
    {
        text_response response;
        response.base() = attempt.exchange()->head();
        remove_hop_by_hop_headers(response);
        response.body() = attempt.take_body();
        whole = co_await channel_.write_response(std::move(response));
    }
    end(whole ? attempt.status() : 0, whole ? "complete" : "caller left");
}

asio::awaitable<void> forward_run::refuse(refusal why)
{
    text_response response(why.status, 11);
    if (why.come_back.count() > 0)
    {
        const std::chrono::duration<double> wait = why.come_back;
        response.set(http::field::retry_after,
                     absl::StrFormat("%.3f", wait.count()));
    }
    end(response.result_int(), why.reason);
    co_await channel_.write_response(std::move(response));
}

asio::awaitable<void> forward_run::fail(std::string reason)
{
    const auto status =
        timed_out_ ? http::status::gateway_timeout : http::status::bad_gateway;
    end(static_cast<unsigned>(status), reason);
    text_response response(status, 11);
    co_await channel_.write_response(std::move(response));
}

void forward_run::cut(const std::string& reason)
{
    end(0, reason);
    channel_.cut();
}

void forward_run::end(unsigned status, std::string reason)
{
    ended_ = true;
    request_end row;
    row.status = status;
    row.reason = std::move(reason);
    row.attempts = absl::StrJoin(history_, "; ");
    row.stages = stages_ ? std::optional(stages_->time()) : std::nullopt;
    row.confirmed = context_.state.freshness().age(boot_clock::now());
    record_end(context_.metrics, accepted_, row);
}

} // namespace mangolink
