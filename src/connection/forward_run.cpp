#include "connection/forward_run.hpp"

#include "connection/backend_exchange.hpp"
#include "connection/failure_log.hpp"
#include "connection/gateway_context.hpp"
#include "connection/prompt_guard.hpp"
#include "connection/request_check.hpp"
#include "connection/request_record.hpp"
#include "connection/request_stages.hpp"
#include "connection/response_writer.hpp"
#include "connection/scoped_timeout.hpp"
#include "connection/server_limit_guard.hpp"
#include "connection/standby_attempt.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Time added to the deadline before a request is ended, so that an answer that
/// the server sends at the deadline is still delivered.
constexpr milliseconds deadline_grace{60};

} // namespace

forward_run::forward_run(gateway_context& context, response_writer& channel,
                         text_request request, boot_clock::time_point arrival)
    : context_(context), channel_(channel), request_(std::move(request)),
      memory_(context.memory, memory_holder::caller_request, [] {}),
      responder_(context, channel, accepted_,
                 [this](request_end& end) { describe(end); })
{
    accepted_.arrival = arrival;
    accepted_.deadline = arrival;
    context_.open_requests.insert(this);
}

forward_run::~forward_run()
{
    context_.open_requests.erase(this);
}

asio::awaitable<void> forward_run::serve()
{
    const auto self = shared_from_this();
    std::exception_ptr failure;
    try
    {
        co_await process();
    }
    catch (...) // logged and answered below
    {
        failure = std::current_exception();
    }
    if (!failure)
    {
        co_return;
    }
    failure_log("request")(failure);
    current_ = nullptr; // destroyed by the exception
    stop_waiting();
    standby_.reset(); // refers to this object
    if (responder_.ended())
    {
        channel_.cut();
    }
    else if (stream_ && stream_->begun())
    {
        responder_.cut("internal failure");
    }
    else
    {
        co_await responder_.fail(failure_status(), "internal failure");
    }
}

asio::awaitable<void> forward_run::process()
{
    request_check check(context_, request_, accepted_.arrival);
    auto details = check.run();
    accepted_ = check.result();
    if (details)
    {
        std::string().swap(request_.body());
        co_await responder_.refuse(std::move(*details));
        co_return;
    }
    memory_.pin(request_check::held_bytes(request_));
    stream_.emplace(channel_, context_.protocol, accepted_.metadata.last_event);
    sender_.emplace(context_, request_, accepted_, *stream_);
    const scoped_timeout guard(context_.io, time_left() + deadline_grace,
                               [this]
                               {
                                   timed_out_ = true;
                                   stop_waiting();
                               });
    stages_ = make_stages();
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

void forward_run::stop_limit_reached()
{
    stop_limit_reached_ = true;
    stop_waiting();
}

void forward_run::quarantine_changed()
{
    if (stages_ && current_ == nullptr && !standby_ && is_quarantined())
    {
        stages_->stop();
    }
}

bool forward_run::is_quarantined() const
{
    return context_.prompts.is_quarantined(accepted_.metadata.prompt);
}

void forward_run::record_progress()
{
    stop_standby();
    if (!has_output_)
    {
        has_output_ = true;
        context_.prompts.record_output(accepted_.metadata.prompt);
    }
}

void forward_run::describe(request_end& end) const
{
    end.attempts = sender_ ? sender_->log_text() : "";
    end.stages = stages_ ? std::optional(stages_->time()) : std::nullopt;
}

http::status forward_run::failure_status() const
{
    return timed_out_ ? http::status::gateway_timeout
                      : http::status::bad_gateway;
}

std::string forward_run::reason_of_end(std::string otherwise) const
{
    return stop_limit_reached_ ? "stop limit"
           : timed_out_        ? "deadline"
           : is_quarantined()  ? "prompt part quarantined"
                               : std::move(otherwise);
}

void forward_run::stop_waiting()
{
    if (stages_)
    {
        stages_->stop();
    }
    if (current_ != nullptr)
    {
        current_->exchange()->abort();
    }
    if (standby_)
    {
        standby_->stop();
    }
}

std::shared_ptr<request_stages> forward_run::make_stages()
{
    if (accepted_.route->stages.empty())
    {
        return nullptr;
    }
    const auto wanted = sender_->preferences(nullptr);
    const auto engine = context_.state.balancer().choose(
        context_.state.directory().servers(accepted_.service,
                                           context_.regions_of(accepted_)),
        wanted, boot_clock::now());
    stages_parameters parameters;
    parameters.regions = [this] { return context_.regions_of(accepted_); };
    parameters.request_id = accepted_.metadata.id;
    parameters.item_key = accepted_.metadata.item_key;
    parameters.deadline = accepted_.deadline;
    // The caller of a begun stream waits for its next event, not for an answer.
    const auto wanted_since =
        stream_->begun() ? boot_clock::now() : accepted_.arrival;
    parameters.due =
        std::min(accepted_.deadline,
                 wanted_since + accepted_.route->latency_objective) -
        expected_first_event_time;
    parameters.preferred_zone = engine ? engine->zone : "";
    parameters.preference = direct_balancer::affinity_gain(wanted);
    return std::make_shared<request_stages>(
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
    std::string reason = stop_limit_reached_ || is_quarantined()
                             ? reason_of_end({})
                             : stages_->failure();
    if (caller_gone_)
    {
        responder_.end(0, "caller left during stages");
    }
    else if (stream_->begun())
    {
        responder_.cut(reason);
    }
    else if (sender_->may_have_run())
    {
        co_await responder_.fail(failure_status(), std::move(reason));
    }
    else
    {
        refusal details{http::status::service_unavailable, std::move(reason),
                        retry_soon};
        co_await responder_.refuse(
            context_.prompts.check(accepted_.metadata.prompt)
                .value_or(std::move(details)));
    }
    co_return false;
}

asio::awaitable<void> forward_run::send_until_answered()
{
    const std::function<bool()> still_wanted = [this]
    { return !caller_gone_ && !timed_out_ && !stop_limit_reached_; };
    bool continues = true;
    attempt_pointer standby;
    while (continues)
    {
        auto attempt = std::exchange(standby, nullptr);
        if (!attempt)
        {
            attempt = co_await sender_->next(stages_.get(), still_wanted);
        }
        if (attempt)
        {
            co_await run_attempt(*attempt);
            standby = co_await take_standby(*attempt);
        }
        if (standby)
        {
            continue;
        }
        if (caller_gone_)
        {
            responder_.end(0, "caller left");
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
        co_await responder_.deliver(*last, stream_->begun());
        break;
    case next_step::refuse:
    {
        refusal details{http::status::service_unavailable, "no server",
                        retry_soon};
        details.reason =
            reason_of_end(last != nullptr ? "server refused" : details.reason);
        if (const auto pause = context_.state.pause_of(
                accepted_.service, context_.regions_of(accepted_),
                boot_clock::now()))
        {
            details.retry_delay = std::max(retry_soon, pause->retry_delay);
            if (last == nullptr && !pause->held)
            {
                details = context_.server_limits.refuse(details.retry_delay);
            }
        }
        co_await responder_.refuse(
            context_.prompts.check(accepted_.metadata.prompt)
                .value_or(std::move(details)));
        break;
    }
    case next_step::fail:
    {
        std::string reason = reason_of_end("no complete answer");
        co_await responder_.fail(failure_status(), std::move(reason));
        break;
    }
    case next_step::cut:
        responder_.cut(reason_of_end("stream broke off"));
        break;
    case next_step::retry:
    case next_step::resume:
        if (!stages_ || stages_->has_results())
        {
            co_return true;
        }
        stages_->finish();
        stages_ = make_stages();
        co_return co_await run_stages();
    }
    co_return false;
}

next_step forward_run::choose_next_step(const forward_attempt* last)
{
    request_progress progress;
    progress.sends = sender_->sends();
    progress.may_have_run = sender_->may_have_run();
    progress.answer_begun = stream_->begun();
    progress.time_left = last != nullptr && !timed_out_ &&
                         !stop_limit_reached_ && !is_quarantined() &&
                         time_left() > min_time_left;
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

asio::awaitable<void> forward_run::run_attempt(forward_attempt& attempt)
{
    current_ = &attempt;
    if (!attempt.has_answer())
    {
        sender_->count(attempt);
        accepted_.reservation.reset();
        co_await attempt.start(limits(), stream_->begun());
        sender_->record_head(attempt);
    }
    if (attempt.streams())
    {
        const std::function<void()> on_first_event = [this]
        {
            // The server has read the stage results, and a begun stream is
            // resumed with new ones.
            if (stages_)
            {
                stages_->restart();
            }
        };
        co_await attempt.forward_events(limits(), *stream_, on_first_event);
    }
    current_ = nullptr;
    caller_gone_ = caller_gone_ || attempt.caller_gone();
    sender_->record(attempt, caller_gone_);
    if (attempt.completed())
    {
        context_.prompts.record_completion(accepted_.metadata.prompt,
                                           attempt.time_since_send());
    }
    if (attempt.end() == attempt_outcome::inputs_gone && stages_)
    {
        stages_->mark_results_lost();
    }
}

void forward_run::start_standby()
{
    if (standby_ || !sender_->may_send_elsewhere())
    {
        return;
    }
    standby_ = std::make_shared<standby_attempt>(
        context_.io,
        [self = shared_from_this()](standby_attempt& standby)
        { return self->send_standby(standby); },
        [this]
        {
            if (current_ != nullptr)
            {
                current_->give_up();
            }
        });
    standby_->start();
}

void forward_run::stop_standby()
{
    if (!standby_)
    {
        return;
    }
    standby_->stop();
    // One that is ready has already ended the current attempt, but continues
    // the answer at an earlier point. take_standby() discards it.
    if (!standby_->ready())
    {
        standby_.reset();
    }
}

asio::awaitable<forward_run::attempt_pointer>
forward_run::send_standby(standby_attempt& standby)
{
    if (!sender_->may_send_elsewhere())
    {
        co_return nullptr;
    }
    if (!stages_ || stages_->has_results())
    {
        co_return co_await send_elsewhere(standby, stages_);
    }
    const auto stages = make_stages();
    standby.hold(stages);
    attempt_pointer attempt;
    if (co_await stages->execute())
    {
        attempt = co_await send_elsewhere(standby, stages);
    }
    if (!attempt)
    {
        stages->finish();
    }
    co_return attempt;
}

asio::awaitable<forward_run::attempt_pointer>
forward_run::send_elsewhere(standby_attempt& standby,
                            std::shared_ptr<request_stages> stages)
{
    if (standby.stopped() || !sender_->may_send_elsewhere())
    {
        co_return nullptr;
    }
    const std::function<bool()> still_wanted = [&standby]
    { return !standby.stopped(); };
    auto attempt = co_await sender_->next(stages.get(), still_wanted);
    if (!attempt)
    {
        co_return nullptr;
    }
    if (!context_.state.retry_budget_of(accepted_.service)
             .try_acquire(boot_clock::now()))
    {
        sender_->return_unsent(*attempt);
        co_return nullptr;
    }
    standby.hold(attempt->exchange());
    sender_->count(*attempt);
    attempt_limits own_limits = limits();
    own_limits.on_silence = [this, current = attempt.get()]
    {
        if (sender_->may_send_elsewhere())
        {
            current->give_up();
        }
    };
    own_limits.on_progress = [] {};
    co_await attempt->start(own_limits, stream_->begun());
    sender_->record_head(*attempt);
    co_await attempt->read_first_event(own_limits);
    if (attempt->has_answer() && !standby.stopped())
    {
        co_return attempt;
    }
    // Its connection may be in use by another request from now on.
    standby.hold(std::shared_ptr<backend_exchange>());
    if (attempt->end() == attempt_outcome::inputs_gone && stages)
    {
        stages->mark_results_lost();
    }
    sender_->record(*attempt, standby.stopped());
    co_return nullptr;
}

asio::awaitable<forward_run::attempt_pointer>
forward_run::take_standby(const forward_attempt& last)
{
    const auto standby = standby_;
    if (!standby)
    {
        co_return nullptr;
    }
    attempt_pointer attempt;
    if (last.has_answer() || caller_gone_ || timed_out_ || stop_limit_reached_)
    {
        standby->stop();
        attempt = standby->take();
    }
    else
    {
        attempt = co_await standby->result();
    }
    standby_.reset();
    if (!attempt)
    {
        co_return nullptr;
    }
    if (last.has_answer() || standby->stopped())
    {
        sender_->record(*attempt, true);
        if (standby->stages())
        {
            standby->stages()->finish();
        }
        co_return nullptr;
    }
    if (standby->stages())
    {
        stages_->finish();
        stages_ = standby->stages();
    }
    co_return attempt;
}

attempt_limits forward_run::limits()
{
    auto result = silence_limits(*accepted_.route, time_left(),
                                 time_left() + deadline_grace * 2);
    result.on_silence = [this] { start_standby(); };
    result.on_progress = [this] { record_progress(); };
    return result;
}

milliseconds forward_run::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(accepted_.deadline -
                                                    boot_clock::now());
}

} // namespace mangolink
