#include "connection/forward_run.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_connection.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/caller_channel.hpp"
#include "connection/gateway_context.hpp"
#include "connection/header_rules.hpp"
#include "connection/stage_dispatcher.hpp"
#include "connection/time_limit.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <stdexcept>

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

/// Time that a model engine needs for the first event of a usual request.
constexpr milliseconds engine_time{150};

/// Pieces of a request that are made again, and that go to another server
/// without having been sent, before the request is refused. A stage has some
/// twenty pieces, which fail together.
constexpr std::uint32_t most_stage_repeats = 60;
constexpr std::uint32_t most_stage_reroutes = 200;

/// Time that a stage is expected to take when the due time of the stages
/// before it is set: half a call's wait, and the call.
constexpr milliseconds following_stage_time{350};

/// A request whose stages are expected to take longer than this many times the
/// route's objective is refused at once: its work would only make others late.
/// Expectations are means, so some above the objective are still in time.
constexpr double admitted_lateness = 1.3;

/// Time left under which another attempt makes no sense.
constexpr milliseconds least_time{40};

/// When a caller should return: after a short disturbance, and while nothing
/// is known.
constexpr milliseconds return_soon{300};
constexpr milliseconds return_later{1000};

constexpr std::size_t largest_answer = 16 * 1024 * 1024;

/// Part of the process's memory that bodies of open requests may take; each
/// is held twice while it is sent.
constexpr double body_memory = 0.3;

bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string text_of(milliseconds value)
{
    return std::to_string(value.count());
}

} // namespace

forward_run::forward_run(gateway_context& context, caller_channel& channel,
                         text_request request, boot_clock::time_point arrival)
    : context_(context), channel_(channel), request_(std::move(request)),
      arrival_(arrival), deadline_(arrival), wake_(context.io)
{
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
    if (auto why = check())
    {
        co_await refuse(std::move(*why));
        co_return;
    }
    const time_limit guard(context_.io, time_left() + deadline_reserve,
                           [this] { on_deadline(); });
    bool ready = true;
    if (!route_->stages.empty())
    {
        plan_.emplace(route_->stages, facts_.piece_counts);
        prefer_zone();
        ready = co_await make_stages();
    }
    if (ready)
    {
        co_await send_until_answered();
    }
    release_results();
}

void forward_run::caller_left()
{
    caller_gone_ = true;
    wake_.cancel();
    if (exchange_)
    {
        exchange_->abort();
    }
}

void forward_run::on_deadline()
{
    timed_out_ = true;
    wake_.cancel();
    if (exchange_)
    {
        exchange_->abort();
    }
}

std::optional<forward_run::refusal> forward_run::check()
{
    try
    {
        facts_ = context_.protocol.read_request(request_);
    }
    catch (const std::invalid_argument& error)
    {
        return refusal{http::status::bad_request, error.what(), {}};
    }
    last_event_ = facts_.last_event;
    if (context_.refusing)
    {
        return refusal{http::status::service_unavailable, "stopping",
                       return_soon};
    }
    const auto most_bytes = static_cast<std::uint64_t>(
        body_memory * static_cast<double>(context_.settings.memory_bytes));
    if (context_.body_bytes > most_bytes)
    {
        return refusal{http::status::service_unavailable, "memory",
                       return_soon};
    }
    configuration_ = context_.state.configuration();
    if (!configuration_)
    {
        return refusal{http::status::service_unavailable, "no configuration",
                       return_later};
    }
    const bool fresh = context_.state.freshness().keys_trusted(arrival_);
    const std::string_view target(request_.target().data(),
                                  request_.target().size());
    route_ = configuration_->find_route(host_of(request_), target);
    if (route_ == nullptr || (!route_->anonymous && !fresh))
    {
        if (!fresh)
        {
            return refusal{http::status::service_unavailable,
                           "configuration not confirmed", return_later};
        }
        return refusal{http::status::not_found, "no route", {}};
    }
    if (auto why = check_customer())
    {
        return why;
    }
    deadline_ =
        arrival_ + std::min(facts_.time_left.value_or(route_->time_limit),
                            route_->time_limit);
    choose_service();
    context_.state.allowance(service_).count_request(arrival_);
    return check_capacity();
}

std::optional<forward_run::refusal> forward_run::check_customer()
{
    if (route_->anonymous || !configuration_->has_customers())
    {
        return std::nullopt;
    }
    customer_ = configuration_->find_customer(facts_.api_key);
    if (customer_ == nullptr)
    {
        return refusal{http::status::unauthorized, "unknown key", {}};
    }
    return std::nullopt;
}

std::optional<forward_run::refusal> forward_run::check_capacity()
{
    if (time_left() < least_time)
    {
        return refusal{http::status::service_unavailable, "no time left",
                       return_soon};
    }
    if (context_.state.directory().servers(service_).empty())
    {
        return refusal{http::status::service_unavailable, "no server",
                       return_soon};
    }
    milliseconds expected{0};
    const auto& stages = route_->stages;
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        const bool used =
            i < facts_.piece_counts.size() && facts_.piece_counts[i] > 0;
        if (used)
        {
            stage_demand demand;
            demand.pieces = facts_.piece_counts[i];
            demand.result_bytes = stages[i].result_bytes;
            expected +=
                context_.stages.expected_time(stages[i].service, demand);
        }
    }
    const auto useful = std::min(
        time_left(), std::chrono::duration_cast<milliseconds>(
                         route_->latency_objective * admitted_lateness));
    if (!stages.empty() && expected + engine_time > useful)
    {
        return refusal{http::status::service_unavailable,
                       "stages would take " + text_of(expected) + " ms",
                       std::clamp(expected - time_left() / 2, return_soon,
                                  milliseconds(3000))};
    }
    return std::nullopt;
}

void forward_run::choose_service()
{
    std::uint64_t total = 0;
    for (const auto& target : route_->targets)
    {
        total += target.weight;
    }
    // The caller's id is random, and new for each of its attempts.
    std::uint64_t draw = total == 0 ? 0 : stable_hash(facts_.id) % total;
    for (const auto& target : route_->targets)
    {
        service_ = target.service;
        if (draw < target.weight)
        {
            return;
        }
        draw -= target.weight;
    }
}

asio::awaitable<bool> forward_run::make_stages()
{
    const auto began = boot_clock::now();
    submit_ready();
    while (!plan_->complete() && !caller_gone_ && !timed_out_ &&
           !stage_refusal_)
    {
        co_await wait_for_event();
    }
    stage_time_ +=
        std::chrono::duration_cast<milliseconds>(boot_clock::now() - began);
    if (plan_->complete() && !caller_gone_ && !timed_out_)
    {
        co_return true;
    }
    if (caller_gone_)
    {
        end(0, "caller left during stages");
    }
    else if (answer_begun_)
    {
        cut("stages could not be made again");
    }
    else if (may_have_run_)
    {
        std::string reason = "stages could not be made again";
        co_await fail(std::move(reason));
    }
    else
    {
        refusal why{http::status::service_unavailable, "stages took too long",
                    return_soon};
        why = stage_refusal_ ? *stage_refusal_ : why;
        co_await refuse(std::move(why));
    }
    co_return false;
}

void forward_run::submit_ready()
{
    std::vector<std::shared_ptr<stage_order>> orders;
    for (const auto& piece : plan_->take_ready())
    {
        if (orders.empty() || orders.back()->stage != piece.stage)
        {
            orders.push_back(new_order(piece.stage));
        }
        orders.back()->pieces.push_back(piece.piece);
    }
    for (auto& order : orders)
    {
        context_.stages.submit(std::move(order));
    }
}

std::shared_ptr<stage_order> forward_run::new_order(std::uint32_t stage)
{
    const auto& definition = plan_->stage(stage);
    auto order = std::make_shared<stage_order>();
    order->client = weak_from_this();
    order->request_id = facts_.id;
    order->service = definition.service;
    order->stage = stage;
    order->piece_key = facts_.piece_key;
    order->inputs = plan_->inputs_of(stage);
    order->result_bytes = definition.result_bytes;
    for (const auto input : definition.inputs_from)
    {
        order->input_bytes =
            std::max(order->input_bytes, plan_->stage(input).result_bytes);
    }
    order->deadline = deadline_;
    order->preferred_zone = preferred_zone_;
    order->preference = direct_balancer::affinity_gain(wish());
    // The time by which the stages that follow must begin.
    const auto after = static_cast<int>(plan_->stages_after(stage));
    order->stages_after = plan_->stages_after(stage);
    order->due = std::min(deadline_, arrival_ + route_->latency_objective) -
                 engine_time - following_stage_time * after;
    return order;
}

asio::awaitable<void> forward_run::wait_for_event()
{
    error_code ignored; // a cancelled wait is an event
    wake_.expires_at(asio::steady_timer::time_point::max());
    co_await wake_.async_wait(into(ignored));
}

bool forward_run::wants_pieces() const
{
    return !ended_ && !caller_gone_ && !timed_out_;
}

void forward_run::piece_ended(stage_piece piece, stage_item_answer answer)
{
    if (!wants_pieces())
    {
        if (answer.end == stage_item_end::made)
        {
            context_.stages.release({answer.handle});
        }
        return;
    }
    switch (answer.end)
    {
    case stage_item_end::made:
        if (!plan_->made(piece, answer.handle))
        {
            context_.stages.release({answer.handle});
        }
        context_.stages.release(plan_->take_used());
        break;
    case stage_item_end::late:
        stage_refusal_ = refusal{http::status::service_unavailable,
                                 "stage pool too late", return_soon};
        break;
    case stage_item_end::no_input:
        context_.stages.release(plan_->restart());
        ++stage_repeats_;
        break;
    case stage_item_end::unsent:
        plan_->give_back(piece);
        ++stage_reroutes_;
        break;
    case stage_item_end::no_room:
    case stage_item_end::failed:
        plan_->give_back(piece);
        ++stage_repeats_;
        break;
    }
    if (stage_repeats_ > most_stage_repeats ||
        stage_reroutes_ > most_stage_reroutes)
    {
        stage_refusal_ = refusal{http::status::service_unavailable,
                                 "stage pool failed", return_soon};
    }
    if (!stage_refusal_)
    {
        submit_ready();
    }
    if (stage_refusal_ || plan_->complete())
    {
        wake_.cancel();
    }
}

asio::awaitable<void> forward_run::send_until_answered()
{
    while (true)
    {
        attempt current;
        const bool prepared = co_await prepare(current);
        if (caller_gone_)
        {
            end(0, "caller left");
            co_return;
        }
        if (prepared)
        {
            co_await exchange_once(current);
            judge(current);
            finish_connection(current);
        }
        if (caller_gone_)
        {
            end(0, "caller left");
            co_return;
        }
        auto state = progress(current);
        state.time_left = state.time_left && prepared;
        auto step = decide_next(*route_, current.end, state, true);
        const bool repeats =
            step == next_step::send_again || step == next_step::resume;
        if (repeats &&
            !context_.state.allowance(service_).take(boot_clock::now()))
        {
            step = decide_next(*route_, current.end, state, false);
        }
        switch (step)
        {
        case next_step::deliver:
            co_await deliver(current);
            co_return;
        case next_step::refuse:
        {
            refusal why{http::status::service_unavailable, "no server",
                        return_soon};
            why.reason = prepared ? "server refused" : why.reason;
            co_await refuse(std::move(why));
            co_return;
        }
        case next_step::fail:
        {
            std::string reason = timed_out_ ? "deadline" : "no complete answer";
            co_await fail(std::move(reason));
            co_return;
        }
        case next_step::cut:
            cut(timed_out_ ? "deadline" : "stream broke off");
            co_return;
        case next_step::send_again:
        case next_step::resume:
            if (plan_ && (restart_stages_ || step == next_step::resume))
            {
                restart_stages_ = false;
                context_.stages.release(plan_->restart());
                ++stage_repeats_;
                if (!co_await make_stages())
                {
                    co_return;
                }
            }
            break;
        }
    }
}

asio::awaitable<bool> forward_run::prepare(attempt& current)
{
    auto& state = context_.state;
    while (unsent_ < most_unsent && time_left() > least_time && !timed_out_)
    {
        auto server = state.balancer().choose(
            state.directory().servers(service_), wish(), boot_clock::now());
        if (!server)
        {
            co_return false;
        }
        state.balancer().began(server->id);
        const milliseconds limit = std::min(connect_limit, time_left());
        auto lease = co_await context_.connections.acquire(server, limit);
        if (caller_gone_ || timed_out_)
        {
            state.balancer().ended(server->id, send_outcome::withdrawn, {},
                                   boot_clock::now());
            co_return false;
        }
        // A server may have begun to leave while the connection was made.
        if (lease.connection && state.directory().find(server->id))
        {
            current.server = server;
            current.exchange = std::make_shared<backend_exchange>(
                lease.connection, context_.protocol, backend_request(*server),
                facts_.id);
            co_return true;
        }
        ++unsent_;
        tried_.push_back(server->id);
        history_.push_back(server->id + " unreachable");
        state.balancer().ended(server->id, send_outcome::failed, {},
                               boot_clock::now());
    }
    co_return false;
}

asio::awaitable<void> forward_run::exchange_once(attempt& current)
{
    const auto began = boot_clock::now();
    exchange_ = current.exchange;
    ++sends_;
    tried_.push_back(current.server->id);
    bool head = false;
    {
        const time_limit guard(context_.io, first_byte_limit(),
                               [&current]
                               {
                                   current.silent = true;
                                   current.exchange->abort();
                               });
        head = co_await exchange_->begin();
    }
    current.first_byte =
        std::chrono::duration_cast<milliseconds>(boot_clock::now() - began);
    if (!head)
    {
        current.end = current.exchange->sent() ? attempt_end::broken
                                               : attempt_end::unsent;
    }
    else if (is_stream(current))
    {
        co_await forward_stream(current);
    }
    else
    {
        co_await read_whole(current);
    }
    may_have_run_ = may_have_run_ || current.end == attempt_end::broken ||
                    current.end == attempt_end::answered;
    if (current.end == attempt_end::inputs_gone)
    {
        // The same server may be asked again, with results made anew.
        restart_stages_ = true;
        tried_.pop_back();
        --sends_;
    }
    exchange_.reset();
}

asio::awaitable<void> forward_run::read_whole(attempt& current)
{
    current.end = attempt_end::broken;
    while (!current.exchange->complete())
    {
        if (!co_await current.exchange->read_some(current.body) ||
            current.body.size() > largest_answer)
        {
            co_return;
        }
    }
    const auto& facts = current.exchange->facts();
    const auto status = current.exchange->head().result_int();
    if (facts.proven_not_run)
    {
        constexpr unsigned conflict = 409;
        current.end = status == conflict ? attempt_end::inputs_gone
                                         : attempt_end::refused;
        co_return;
    }
    const bool success = status >= 200 && status < 300;
    const bool sound = !facts.body_is_encoded &&
                       (!success || facts.signed_by_server) &&
                       !promises_not_run(status) && !answer_begun_;
    if (sound)
    {
        current.end = attempt_end::answered;
    }
}

asio::awaitable<void> forward_run::forward_stream(attempt& current)
{
    current.end = attempt_end::broken;
    std::string pending;
    while (!current.exchange->complete())
    {
        const bool movable =
            route_->resumable && route_->gap_objective.count() > 0;
        const auto gap = movable ? std::max(route_->gap_objective * silent_gaps,
                                            least_stream_wait)
                                 : time_left() + deadline_reserve * 2;
        bool open = false;
        {
            const time_limit guard(context_.io, gap,
                                   [&current]
                                   {
                                       current.silent = true;
                                       current.exchange->abort();
                                   });
            open = co_await current.exchange->read_some(pending);
        }
        if (!co_await pass_events(current, pending) || !open)
        {
            co_return;
        }
    }
    if (!pending.empty())
    {
        co_return; // ended inside an event
    }
    current.end = attempt_end::answered;
}

asio::awaitable<bool> forward_run::pass_events(attempt& current,
                                               std::string& pending)
{
    constexpr std::string_view boundary = "\n\n";
    std::string whole;
    std::size_t at = 0;
    for (auto next = pending.find(boundary); next != std::string::npos;
         next = pending.find(boundary, at))
    {
        const std::string_view event(pending.data() + at,
                                     next + boundary.size() - at);
        at = next + boundary.size();
        const auto number = context_.protocol.event_number(event);
        const bool resumed = answer_begun_ && sends_ > 1;
        if (number && resumed && *number <= last_event_)
        {
            continue;
        }
        if (number && resumed && *number > last_event_ + 1)
        {
            current.exchange->abort(); // events are missing in between
            co_return false;
        }
        last_event_ = number.value_or(last_event_);
        whole += event;
    }
    pending.erase(0, at);
    if (whole.empty())
    {
        co_return true;
    }
    if (!answer_begun_)
    {
        http::response_header<> head(current.exchange->head());
        remove_connection_headers(head);
        answer_begun_ = true;
        release_results();
        if (!co_await channel_.begin_stream(std::move(head)))
        {
            caller_left();
            co_return false;
        }
    }
    if (!co_await channel_.send(whole))
    {
        caller_left();
        co_return false;
    }
    co_return true;
}

bool forward_run::is_stream(const attempt& current) const
{
    const auto& head = current.exchange->head();
    const auto& facts = current.exchange->facts();
    return head.result() == http::status::ok && facts.signed_by_server &&
           !facts.body_is_encoded &&
           head[http::field::content_type].starts_with("text/event-stream");
}

void forward_run::judge(const attempt& current)
{
    auto outcome = send_outcome::failed;
    unsigned status = 0;
    switch (current.end)
    {
    case attempt_end::answered:
        status = current.exchange->head().result_int();
        outcome = status < 500 ? send_outcome::served : send_outcome::failed;
        break;
    case attempt_end::refused:
        status = current.exchange->head().result_int();
        outcome = status == 421 ? send_outcome::failed : send_outcome::shed;
        break;
    case attempt_end::inputs_gone:
        outcome = send_outcome::shed;
        break;
    case attempt_end::broken:
    case attempt_end::unsent:
        outcome = caller_gone_     ? send_outcome::withdrawn
                  : current.silent ? send_outcome::silent
                                   : send_outcome::failed;
        break;
    }
    context_.state.balancer().ended(current.server->id, outcome,
                                    current.first_byte, boot_clock::now());
    static constexpr const char* end_names[] = {
        "unsent", "refused", "inputs gone", "answered", "broken"};
    history_.push_back(current.server->id + " " +
                       end_names[static_cast<std::size_t>(current.end)] + " " +
                       (status == 0 ? "" : std::to_string(status) + " ") +
                       text_of(current.first_byte) + " ms");
}

void forward_run::finish_connection(attempt& current)
{
    if (current.exchange->reusable())
    {
        context_.connections.release(current.server->id,
                                     current.exchange->connection(),
                                     current.exchange->facts().keep_alive);
        return;
    }
    current.exchange->abort();
}

text_request forward_run::backend_request(const backend_server& server) const
{
    text_request result;
    result.base() = request_.base();
    remove_connection_headers(result);
    backend_facts facts;
    facts.server_id = server.id;
    facts.time_left = std::max(time_left(), milliseconds(1));
    facts.priority = route_->priority;
    if (customer_ != nullptr)
    {
        facts.customer = customer_->name;
        facts.priority = customer_->priority.value_or(route_->priority);
    }
    if (plan_)
    {
        for (const auto& result_row : plan_->final_results())
        {
            facts.stage_results.push_back(result_row.handle);
        }
    }
    if (answer_begun_)
    {
        facts.last_event = last_event_;
    }
    context_.protocol.write_request(result, facts);
    result.version(11);
    result.body() = request_.body();
    result.prepare_payload();
    return result;
}

void forward_run::prefer_zone()
{
    auto& state = context_.state;
    const auto engine = state.balancer().choose(
        state.directory().servers(service_), wish(), boot_clock::now());
    preferred_zone_ = engine ? engine->zone : "";
}

server_wish forward_run::wish() const
{
    server_wish result;
    result.affinity = route_->has_affinity ? facts_.affinity : 0;
    result.shared_tokens = facts_.shared_tokens;
    result.excluded = tried_;
    if (plan_)
    {
        for (const auto& row : plan_->final_results())
        {
            const auto keeper = context_.state.directory().find_address(
                context_.protocol.keeper(row.handle));
            if (keeper)
            {
                result.bytes_in_zone[keeper->zone] += row.bytes;
            }
        }
    }
    return result;
}

milliseconds forward_run::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(deadline_ -
                                                    boot_clock::now());
}

milliseconds forward_run::first_byte_limit() const
{
    const auto left = time_left();
    if (!route_->may_repeat() || sends_ >= route_->max_attempts)
    {
        return left + deadline_reserve * 2;
    }
    const auto least = route_->kind == route_kind::streaming ? least_stream_wait
                                                             : least_plain_wait;
    const auto share =
        std::chrono::duration_cast<milliseconds>(left * first_server_share);
    return std::max(least, share);
}

request_progress forward_run::progress(const attempt& current) const
{
    request_progress result;
    result.sends = sends_;
    result.may_have_run = may_have_run_;
    result.answer_begun = answer_begun_;
    result.time_left = !timed_out_ && time_left() > least_time;
    result.server_failure = current.end == attempt_end::answered &&
                            current.exchange->head().result_int() >= 500;
    return result;
}

asio::awaitable<void> forward_run::deliver(attempt& current)
{
    const auto status = current.exchange->head().result_int();
    if (answer_begun_)
    {
        const bool whole = co_await channel_.end_stream();
        end(whole ? status : 0, whole ? "complete" : "caller left");
        co_return;
    }
    text_response response;
    response.base() = current.exchange->head();
    remove_connection_headers(response);
    response.body() = std::move(current.body);
    const bool whole = co_await channel_.answer(std::move(response));
    end(whole ? status : 0, whole ? "complete" : "caller left");
}

asio::awaitable<void> forward_run::refuse(refusal why)
{
    text_response response(why.status, 11);
    if (why.come_back.count() > 0)
    {
        response.set(
            http::field::retry_after,
            absl::StrFormat("%.3f",
                            static_cast<double>(why.come_back.count()) / 1000));
    }
    end(response.result_int(), std::move(why.reason));
    co_await channel_.answer(std::move(response));
}

asio::awaitable<void> forward_run::fail(std::string reason)
{
    const auto status =
        timed_out_ ? http::status::gateway_timeout : http::status::bad_gateway;
    end(static_cast<unsigned>(status), std::move(reason));
    text_response response(status, 11);
    co_await channel_.answer(std::move(response));
}

void forward_run::cut(std::string reason)
{
    end(0, std::move(reason));
    channel_.cut();
}

void forward_run::end(unsigned status, std::string reason)
{
    ended_ = true;
    const auto took =
        std::chrono::duration_cast<milliseconds>(boot_clock::now() - arrival_);
    const std::string route = route_ == nullptr ? "" : route_->name;
    context_.metrics
        .counter("mangolink_requests_total", "route=\"" + route +
                                                 "\",status=\"" +
                                                 std::to_string(status) + "\"")
        .add();
    context_.metrics
        .histogram("mangolink_request_seconds", "route=\"" + route + "\"")
        .add(took);
    if (!log_enabled(log_level::notice))
    {
        return;
    }
    std::string attempts;
    for (const auto& row : history_)
    {
        attempts += attempts.empty() ? "" : "; ";
        attempts += row;
    }
    const auto age = context_.state.freshness().age(boot_clock::now());
    log_notice(
        "request", "Ended.",
        {{"id", facts_.id},
         {"route", route},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"took_ms", text_of(took)},
         {"stages_ms", plan_ ? text_of(stage_time_) : ""},
         {"deadline_ms", text_of(std::chrono::duration_cast<milliseconds>(
                             deadline_ - arrival_))},
         {"service", service_},
         {"attempts", attempts},
         {"configuration",
          configuration_ ? std::to_string(configuration_->version()) : "none"},
         {"confirmed_ms_ago", age ? text_of(*age) : "never"}});
}

void forward_run::release_results()
{
    if (plan_)
    {
        context_.stages.release(plan_->restart());
    }
}

} // namespace mangolink
