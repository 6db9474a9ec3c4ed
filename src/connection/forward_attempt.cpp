#include "connection/forward_attempt.hpp"

#include "connection/backend_exchange.hpp"
#include "connection/scoped_timeout.hpp"
#include "connection/stream_forwarder.hpp"
#include "process/backend_server.hpp"

#include <algorithm>
#include <utility>

namespace mangolink
{
namespace
{

constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
constexpr std::size_t max_event_bytes = 256 * 1024;

/// Returns whether an event is complete, given that none was in the first
/// `known` bytes.
bool has_complete_event(const std::string& pending, std::size_t known)
{
    return pending.find("\n\n", known > 0 ? known - 1 : 0) != std::string::npos;
}

constexpr unsigned conflict = 409;
constexpr unsigned misdirected_status = 421;
constexpr unsigned first_server_failure = 500;

/// Returns whether the status tells callers that the request has not run.
bool implies_not_run(unsigned status)
{
    return status == 408 || status == misdirected_status || status == 429 ||
           status == 503;
}

} // namespace

forward_attempt::forward_attempt(asio::io_context& io,
                                 std::shared_ptr<const backend_server> server,
                                 std::shared_ptr<backend_exchange> exchange)
    : io_(io), server_(std::move(server)), exchange_(std::move(exchange))
{
}

asio::awaitable<void> forward_attempt::start(attempt_limits limits,
                                             bool answer_begun)
{
    sent_at_ = boot_clock::now();
    const bool head = co_await read_head(limits);
    has_head_ = head;
    first_byte_ = time_since_send();
    if (!head)
    {
        end_ = exchange_->sent() ? attempt_outcome::broken
                                 : attempt_outcome::unsent;
    }
    else if (is_stream())
    {
        streams_ = true;
    }
    else
    {
        co_await read_complete_body(answer_begun);
        if (has_answer())
        {
            has_output_ = true;
            limits.on_progress();
        }
    }
}

milliseconds forward_attempt::time_since_send() const
{
    return std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                    sent_at_);
}

bool forward_attempt::ended_by_server() const
{
    return end_ == attempt_outcome::broken && !timed_out_ &&
           exchange_->closed_by_server();
}

const char* forward_attempt::received() const
{
    return has_output_ ? "output" : has_head_ ? "head" : "nothing";
}

std::string forward_attempt::connection_end() const
{
    return timed_out_                      ? "time limit"
           : exchange_->reclaimed()        ? "memory"
           : exchange_->error()            ? exchange_->error().message()
           : exchange_->closed_by_server() ? "closed"
                                           : "invalid answer";
}

void forward_attempt::give_up()
{
    timed_out_ = true;
    exchange_->abort();
}

bool forward_attempt::server_failure() const
{
    return status() >= first_server_failure;
}

bool forward_attempt::misdirected() const
{
    return end_ == attempt_outcome::refused && status() == misdirected_status;
}

unsigned forward_attempt::status() const
{
    const bool complete = end_ == attempt_outcome::answered ||
                          end_ == attempt_outcome::refused ||
                          end_ == attempt_outcome::inputs_gone;
    return complete ? exchange_->head().result_int() : 0;
}

send_outcome forward_attempt::outcome(bool cancelled) const
{
    switch (end_)
    {
    case attempt_outcome::answered:
        return server_failure() ? send_outcome::failed : send_outcome::served;
    case attempt_outcome::refused:
        return misdirected() ? send_outcome::failed : send_outcome::shed;
    case attempt_outcome::inputs_gone:
        return send_outcome::shed;
    case attempt_outcome::broken:
    case attempt_outcome::unsent:
        break;
    }
    // Which answer loses its memory says nothing about the server.
    return cancelled || exchange_->reclaimed() ? send_outcome::cancelled
           : timed_out_                        ? send_outcome::timed_out
                                               : send_outcome::failed;
}

std::string forward_attempt::text() const
{
    static constexpr const char* names[] = {"unsent", "refused", "inputs gone",
                                            "answered", "broken"};
    std::string result =
        server_->id + " " + names[static_cast<std::size_t>(end_)];
    result += status() == 0 ? "" : " " + std::to_string(status());
    result += timed_out_ ? " by time limit" : "";
    result += " " + std::to_string(first_byte_.count()) + " ms";
    return silence_.count() == 0
               ? result
               : result + " silent " + std::to_string(silence_.count()) + " ms";
}

asio::awaitable<bool> forward_attempt::read_head(const attempt_limits& limits)
{
    const scoped_timeout guard(io_, limits.first_byte, limits.on_silence);
    const bool read = co_await exchange_->begin();
    co_return read;
}

asio::awaitable<void> forward_attempt::read_complete_body(bool answer_begun)
{
    end_ = attempt_outcome::broken;
    if (!co_await exchange_->read_rest(body_, max_answer_bytes))
    {
        co_return;
    }
    const auto& metadata = exchange_->metadata();
    const auto code = exchange_->head().result_int();
    if (metadata.proven_not_run)
    {
        end_ = code == conflict ? attempt_outcome::inputs_gone
                                : attempt_outcome::refused;
        co_return;
    }
    const bool success = code >= 200 && code < 300;
    // A refusal without proof may have run and must not be delivered as one.
    // The head of an empty answer without a length may have been cut behind
    // one of its lines.
    const bool maybe_cut = body_.empty() && exchange_->ends_with_connection();
    const bool sound =
        !metadata.body_is_encoded &&
        (!success || (metadata.signed_by_server && !maybe_cut)) &&
        !implies_not_run(code) && !answer_begun;
    end_ = sound ? attempt_outcome::answered : attempt_outcome::broken;
}

asio::awaitable<void> forward_attempt::read_first_event(attempt_limits limits)
{
    const scoped_timeout guard(io_, limits.between_events, limits.on_silence);
    while (streams_ && !exchange_->complete())
    {
        const auto known = pending_.size();
        if (!co_await exchange_->read_some(pending_) ||
            pending_.size() > max_event_bytes)
        {
            streams_ = false;
            end_ = attempt_outcome::broken;
        }
        else if (has_complete_event(pending_, known))
        {
            has_output_ = true;
            break;
        }
    }
    if (streams_ && !has_output_ && !is_whole())
    {
        streams_ = false;
        end_ = attempt_outcome::broken;
    }
}

asio::awaitable<void>
forward_attempt::forward_events(attempt_limits limits, stream_forwarder& stream,
                                std::function<void()> on_first_event)
{
    streams_ = false;
    end_ = attempt_outcome::broken;
    const bool resumed = stream.begun();
    bool first_seen = false;
    bool open = true;
    std::size_t known = 0;
    auto last_event = boot_clock::now();
    while (true)
    {
        const auto received = pending_.size();
        const bool has_event = has_complete_event(pending_, known);
        if (has_event && !std::exchange(first_seen, true))
        {
            on_first_event();
        }
        has_output_ = has_output_ || has_event;
        if (!open || received > max_event_bytes || has_event)
        {
            if (open && has_event)
            {
                limits.on_progress();
            }
            exchange_->set_reading(false);
            const auto forwarded =
                co_await stream.forward(exchange_->head(), pending_, resumed);
            exchange_->set_reading(true);
            caller_gone_ = forwarded == forward_result::caller_gone;
            if (forwarded != forward_result::forwarded || !open ||
                pending_.size() > max_event_bytes)
            {
                co_return;
            }
        }
        if (pending_.size() < received)
        {
            last_event = boot_clock::now();
        }
        if (exchange_->complete())
        {
            break;
        }
        known = pending_.size();
        const auto since_event = std::chrono::duration_cast<milliseconds>(
            boot_clock::now() - last_event);
        {
            const scoped_timeout guard(
                io_,
                std::max(limits.between_events - since_event, milliseconds(0)),
                limits.on_silence);
            open = co_await exchange_->read_some(pending_);
        }
        if (timed_out_)
        {
            co_return; // another answer goes on after the last forwarded event
        }
        silence_ = std::max(silence_, std::chrono::duration_cast<milliseconds>(
                                          boot_clock::now() - last_event));
    }
    end_ = is_whole() ? attempt_outcome::answered : attempt_outcome::broken;
}

bool forward_attempt::is_whole() const
{
    return pending_.empty() &&
           (has_output_ || !exchange_->ends_with_connection());
}

bool forward_attempt::is_stream() const
{
    const auto& head = exchange_->head();
    const auto& metadata = exchange_->metadata();
    return head.result() == http::status::ok && metadata.signed_by_server &&
           !metadata.body_is_encoded &&
           head[http::field::content_type].starts_with("text/event-stream");
}

} // namespace mangolink
