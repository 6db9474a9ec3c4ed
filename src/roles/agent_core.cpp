#include "roles/agent_core.hpp"

#include "roles/agent_actions.hpp"
#include "version/configuration_store.hpp"
#include "wire/mangolink.pb.h"

#include <algorithm>
#include <utility>

namespace mangolink
{
namespace
{

constexpr std::uint32_t schema_version = 1;
constexpr milliseconds expiry_interval{1000};

/// Names the smoothed time of all calls in the estimator.
constexpr std::uint64_t whole_call = 0;
constexpr std::uint64_t first_byte = 1;

/// Names the smoothed ratio of time taken to time expected, in permille.
constexpr std::uint64_t slowdown = 2;

/// Every how many chunks the load is reported.
constexpr std::uint32_t chunks_per_report = 8;

std::optional<attempt_key> key_of(const std::string& id, std::uint32_t stage,
                                  std::uint32_t attempt)
{
    const auto parsed = request_id::from_bytes(id);
    if (!parsed)
    {
        return std::nullopt;
    }
    return attempt_key{*parsed, stage, attempt};
}

void set_ref(wire::attempt_ref& ref, const attempt_key& key)
{
    ref.set_request_id(key.id.bytes());
    ref.set_stage(key.stage);
    ref.set_attempt(key.attempt);
}

microseconds elapsed(boot_clock::time_point from, boot_clock::time_point to)
{
    return std::chrono::duration_cast<microseconds>(to - from);
}

} // namespace

agent_core::agent_core(agent_core_settings settings, incarnation own,
                       configuration_store& store, agent_actions& actions)
    : settings_(std::move(settings)), own_(own), actions_(actions),
      replicator_(store,
                  [this](const std::string& peer, wire::envelope& message)
                  { send(peer, message); }),
      attempts_(settings_.attempt_retention),
      keys_(settings_.server, own, settings_.max_keys)
{
}

void agent_core::on_message(const std::string& route,
                            const wire::envelope& message, agent_time time)
{
    if (message.schema() > schema_version && !message.has_heartbeat())
    {
        if (message.has_submit())
        {
            const auto key =
                key_of(message.submit().request_id(), message.submit().stage(),
                       message.submit().attempt());
            if (key)
            {
                refuse(route, *key, {result_code::newer_schema});
            }
        }
        return;
    }
    replicator_.record_position(route, message.position(), time.now);
    const bool addressed = message.receiver() == own_.value();
    if (message.has_heartbeat())
    {
        on_heartbeat(route, message.heartbeat());
    }
    else if (message.has_submit())
    {
        const auto& submit = message.submit();
        const auto key =
            key_of(submit.request_id(), submit.stage(), submit.attempt());
        if (key && !addressed)
        {
            refuse(route, *key, {result_code::stale_incarnation});
        }
        else if (key)
        {
            on_submit(route, submit, time);
        }
    }
    else if (message.has_cancel() && addressed)
    {
        on_cancel(route, message.cancel());
        start_queued(time.now);
    }
    else if (message.has_pull())
    {
        replicator_.on_pull(route, message.pull());
    }
    else if (message.has_push() && replicator_.on_push(message.push()))
    {
        replicator_.announce();
    }
}

void agent_core::on_call_data(call_id id, std::string text,
                              std::uint32_t tokens, boot_clock::time_point now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || text.empty())
    {
        return;
    }
    call_record& row = found->second;
    if (!row.first_byte_seen)
    {
        row.first_byte_seen = true;
        estimator_.add(first_byte, elapsed(row.started, now));
    }
    row.digest.add(text);
    wire::envelope message;
    wire::chunk& chunk = *message.mutable_chunk();
    set_ref(*chunk.mutable_ref(), row.key);
    chunk.set_sequence(row.chunks++);
    chunk.set_data(std::move(text));
    chunk.set_tokens(tokens);
    if (chunk.sequence() % chunks_per_report == 0)
    {
        report_load(*chunk.mutable_load());
    }
    send(row.route, message);
}

void agent_core::on_call_ended(call_id id, const backend_answer& answer,
                               agent_time time)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    call_record& row = found->second;
    --running_;
    running_work_ -= row.expected_work;
    if (!answer.handed_over)
    {
        row.running = false;
        refuse_call(id, {result_code::server_unreachable, seconds(1)});
        start_queued(time.now);
        return;
    }
    if (answer.code == result_code::complete)
    {
        update_estimates(row, time.now);
    }
    if (!row.call.key.empty())
    {
        keys_.complete(row.call.key, answer);
    }
    const call_record ended = std::move(row);
    by_attempt_.erase(ended.key);
    calls_.erase(found);
    start_queued(time.now);
    send_finished(ended.route, ended.key, answer, false, &ended, time.now);
}

void agent_core::update_estimates(const call_record& row,
                                  boot_clock::time_point now)
{
    const microseconds taken = elapsed(row.started, now);
    estimator_.add(whole_call, taken);
    if (row.expected_work > microseconds(0))
    {
        estimator_.add(slowdown, microseconds(1000 * taken.count() /
                                              row.expected_work.count()));
    }
}

void agent_core::begin_leaving()
{
    if (state_ == agent_state::leaving)
    {
        return;
    }
    state_ = agent_state::leaving;
    replicator_.announce_to_all();
}

void agent_core::on_time(agent_time time)
{
    if (time.now < next_expiry_)
    {
        return;
    }
    next_expiry_ = time.now + expiry_interval;
    attempts_.expire(time.now);
    keys_.expire(time.wall);
}

void agent_core::announce_configuration()
{
    replicator_.announce();
}

void agent_core::on_submit(const std::string& route,
                           const wire::submit& message, agent_time time)
{
    const attempt_key key{*request_id::from_bytes(message.request_id()),
                          message.stage(), message.attempt()};
    if (by_attempt_.contains(key))
    {
        return; // a copy of an attempt in progress changes nothing
    }
    const admission admitted = admit(message, attempts_.add(key, time.now));
    if (admitted.code == result_code::duplicate_attempt)
    {
        return; // decided before; the first answer stands
    }
    if (admitted.code != result_code::complete)
    {
        refuse(route, key, admitted);
        return;
    }
    if (!message.idempotency_key().empty() &&
        !claim_key(route, message, key, time))
    {
        return;
    }
    enqueue(route, message, key, time.now);
    start_queued(time.now);
}

agent_core::admission agent_core::admit(const wire::submit& message,
                                        bool first_copy) const
{
    if (!first_copy)
    {
        return {result_code::duplicate_attempt};
    }
    if (state_ != agent_state::ready)
    {
        return {result_code::leaving};
    }
    if (!stage_kind_from_wire(message.kind()))
    {
        return {result_code::newer_schema};
    }
    const microseconds wait = expected_queue_wait();
    if (queue_.size() >= settings_.max_queue)
    {
        return {result_code::queue_full, wait};
    }
    const microseconds expected = wait + from_wire(message.expected_work_us());
    if (expected > from_wire(message.budget_us()))
    {
        return {result_code::deadline_unreachable, wait};
    }
    return {};
}

bool agent_core::claim_key(const std::string& route,
                           const wire::submit& message, const attempt_key& key,
                           agent_time time)
{
    const std::string& text = message.idempotency_key();
    switch (keys_.claim(text, message.body(), time.wall))
    {
    case key_state::fresh:
        return true;
    case key_state::ended:
        send_finished(route, key, keys_.answer(text), true, nullptr, time.now);
        return false;
    case key_state::running:
    {
        backend_answer answer;
        answer.code = result_code::key_in_progress;
        send_finished(route, key, answer, true, nullptr, time.now);
        return false;
    }
    case key_state::expired:
    case key_state::not_owned:
    {
        backend_answer answer;
        answer.code = result_code::key_owner_gone;
        send_finished(route, key, answer, true, nullptr, time.now);
        return false;
    }
    case key_state::body_mismatch:
        refuse(route, key, {result_code::key_reused});
        return false;
    case key_state::table_full:
        refuse(route, key, {result_code::queue_full, seconds(1)});
        return false;
    }
    return false;
}

void agent_core::enqueue(const std::string& route, const wire::submit& message,
                         const attempt_key& key, boot_clock::time_point now)
{
    const auto id = static_cast<call_id>(next_call_++);
    call_record row;
    row.route = route;
    row.key = key;
    row.call.id = id;
    row.call.kind = *stage_kind_from_wire(message.kind());
    row.call.path = message.path();
    row.call.body = message.body();
    row.call.idempotent = message.idempotent();
    row.call.streamed = message.streamed();
    row.call.key = message.idempotency_key();
    row.call.request = key.id;
    row.customer = message.customer();
    row.expected_work = from_wire(message.expected_work_us());
    row.received = now;
    row.deadline = now + from_wire(message.budget_us());

    queued_work item;
    item.id = id;
    item.customer = message.customer();
    item.weight = std::max(message.weight(), 1U);
    item.priority = message.priority();
    item.work = row.expected_work;
    item.deadline = row.deadline;
    queue_.push(std::move(item));
    by_attempt_.emplace(key, id);
    calls_.emplace(id, std::move(row));
}

void agent_core::on_cancel(const std::string& route,
                           const wire::cancel& message)
{
    const auto key = key_of(message.ref().request_id(), message.ref().stage(),
                            message.ref().attempt());
    const auto found = key ? by_attempt_.find(*key) : by_attempt_.end();
    if (found == by_attempt_.end())
    {
        return;
    }
    const call_id id = found->second;
    call_record& row = calls_.at(id);
    if (!row.running)
    {
        queue_.remove(id);
        refuse_call(id, {result_code::cancelled});
        return;
    }
    if (!row.call.idempotent)
    {
        return; // runs to its end; its key keeps the answer
    }
    actions_.cancel_call(id);
    --running_;
    running_work_ -= row.expected_work;
    backend_answer answer;
    answer.code = result_code::caller_gone;
    send_finished(route, row.key, answer, false, nullptr, row.started);
    by_attempt_.erase(row.key);
    calls_.erase(id);
}

void agent_core::on_heartbeat(const std::string& route,
                              const wire::heartbeat& message)
{
    if (!message.answer_wanted())
    {
        return;
    }
    wire::envelope reply;
    reply.mutable_heartbeat()->set_name(settings_.server);
    send(route, reply);
}

void agent_core::start_queued(boot_clock::time_point now)
{
    while (running_ < settings_.limit)
    {
        const auto next = queue_.pop();
        if (!next)
        {
            return;
        }
        call_record& row = calls_.at(next->id);
        if (!can_finish(row, now))
        {
            refuse_call(next->id, {result_code::deadline_unreachable,
                                   expected_queue_wait()});
            continue;
        }
        row.running = true;
        row.started = now;
        row.call.time_limit = elapsed(now, row.deadline);
        ++running_;
        running_work_ += row.expected_work;
        actions_.start_call(row.call);
    }
}

bool agent_core::can_finish(const call_record& row,
                            boot_clock::time_point now) const
{
    return now < row.deadline && now + row.expected_work <= row.deadline;
}

void agent_core::refuse(const std::string& route, const attempt_key& key,
                        admission why)
{
    wire::envelope message;
    wire::refused& refused = *message.mutable_refused();
    set_ref(*refused.mutable_ref(), key);
    refused.set_code(static_cast<std::uint32_t>(why.code));
    refused.set_retry_after_us(to_wire(why.retry_after));
    report_load(*refused.mutable_load());
    send(route, message);
}

void agent_core::refuse_call(call_id id, admission why)
{
    const auto found = calls_.find(id);
    const call_record row = std::move(found->second);
    calls_.erase(found);
    by_attempt_.erase(row.key);
    if (!row.call.key.empty())
    {
        keys_.release(row.call.key);
    }
    refuse(row.route, row.key, why);
}

void agent_core::send_finished(const std::string& route, const attempt_key& key,
                               const backend_answer& answer, bool repeated,
                               const call_record* row,
                               boot_clock::time_point now)
{
    wire::envelope message;
    wire::finished& finished = *message.mutable_finished();
    set_ref(*finished.mutable_ref(), key);
    finished.set_code(static_cast<std::uint32_t>(answer.code));
    finished.set_body(answer.body);
    finished.set_http_status(answer.http_status);
    finished.set_prompt_tokens(answer.prompt_tokens);
    finished.set_cached_tokens(answer.cached_tokens);
    finished.set_generated_tokens(answer.generated_tokens);
    finished.set_repeated(repeated);
    if (row != nullptr)
    {
        finished.set_chunks(row->chunks);
        finished.set_digest(row->digest.value());
        finished.set_queue_us(to_wire(row->started - row->received));
        finished.set_service_us(to_wire(now - row->started));
    }
    report_load(*finished.mutable_load());
    send(route, message);
}

void agent_core::send(const std::string& route, wire::envelope& message)
{
    message.set_schema(schema_version);
    message.set_sender(own_.value());
    replicator_.write_position(message);
    if (message.has_heartbeat())
    {
        report_load(*message.mutable_heartbeat()->mutable_load());
    }
    actions_.send(route, message);
}

void agent_core::report_load(wire::load_report& load) const
{
    load.set_running(static_cast<std::uint32_t>(running_));
    load.set_queued(static_cast<std::uint32_t>(queue_.size()));
    load.set_limit(settings_.limit);
    load.set_queued_work_us(to_wire(queue_.total_work()));
    load.set_service_time_us(to_wire(estimator_.estimate(whole_call).mean));
    load.set_first_byte_us(to_wire(estimator_.estimate(first_byte).mean));
    load.set_slowdown_permille(
        static_cast<std::uint32_t>(estimator_.estimate(slowdown).mean.count()));
    load.set_state(static_cast<std::uint32_t>(state_));
}

microseconds agent_core::expected_queue_wait() const
{
    if (running_ < settings_.limit)
    {
        return microseconds(0);
    }
    const microseconds ahead = queue_.total_work() + running_work_ / 2;
    return ahead / static_cast<std::int64_t>(settings_.limit);
}

} // namespace mangolink
