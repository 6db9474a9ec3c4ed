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

/// Estimator keys of the mean call time and the mean time to the first byte.
constexpr std::uint64_t whole_call = 0;
constexpr std::uint64_t first_byte = 1;

/// Estimator key of the mean ratio of actual to expected time, in permille.
constexpr std::uint64_t slowdown = 2;

/// Every n-th chunk carries a load report.
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
    call_record& record = found->second;
    if (!record.first_byte_seen)
    {
        record.first_byte_seen = true;
        estimator_.add(first_byte, elapsed(record.started, now));
    }
    record.digest.add(text);
    wire::envelope message;
    wire::chunk& chunk = *message.mutable_chunk();
    set_ref(*chunk.mutable_ref(), record.key);
    chunk.set_sequence(record.chunks++);
    chunk.set_data(std::move(text));
    chunk.set_tokens(tokens);
    if (chunk.sequence() % chunks_per_report == 0)
    {
        report_load(*chunk.mutable_load());
    }
    send(record.route, message);
}

void agent_core::on_call_ended(call_id id, const backend_answer& answer,
                               agent_time time)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    call_record& record = found->second;
    --running_;
    running_work_ -= record.expected_work;
    if (!answer.handed_over)
    {
        record.running = false;
        refuse_call(id, {result_code::server_unreachable, seconds(1)});
        start_queued(time.now);
        return;
    }
    if (answer.code == result_code::complete)
    {
        update_estimates(record, time.now);
    }
    if (!record.call.key.empty())
    {
        keys_.complete(record.call.key, answer);
    }
    const call_record ended = std::move(record);
    by_attempt_.erase(ended.key);
    calls_.erase(found);
    start_queued(time.now);
    send_finished(ended.route, ended.key, answer, false, &ended, time.now);
}

void agent_core::update_estimates(const call_record& record,
                                  boot_clock::time_point now)
{
    const microseconds taken = elapsed(record.started, now);
    estimator_.add(whole_call, taken);
    if (record.expected_work > microseconds(0))
    {
        estimator_.add(slowdown, microseconds(1000 * taken.count() /
                                              record.expected_work.count()));
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
        return; // duplicate of an attempt in progress
    }
    const admission admitted = admit(message, attempts_.add(key, time.now));
    if (admitted.code == result_code::duplicate_attempt)
    {
        return; // already decided; the first response stands
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
    call_record record;
    record.route = route;
    record.key = key;
    record.call.id = id;
    record.call.kind = *stage_kind_from_wire(message.kind());
    record.call.path = message.path();
    record.call.body = message.body();
    record.call.idempotent = message.idempotent();
    record.call.streamed = message.streamed();
    record.call.key = message.idempotency_key();
    record.call.request = key.id;
    record.customer = message.customer();
    record.expected_work = from_wire(message.expected_work_us());
    record.received = now;
    record.deadline = now + from_wire(message.budget_us());

    queued_work item;
    item.id = id;
    item.customer = message.customer();
    item.weight = std::max(message.weight(), 1U);
    item.priority = message.priority();
    item.work = record.expected_work;
    item.deadline = record.deadline;
    queue_.push(std::move(item));
    by_attempt_.emplace(key, id);
    calls_.emplace(id, std::move(record));
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
    call_record& record = calls_.at(id);
    if (!record.running)
    {
        queue_.remove(id);
        refuse_call(id, {result_code::cancelled});
        return;
    }
    if (!record.call.idempotent)
    {
        return; // runs to its end; its key keeps the answer
    }
    actions_.cancel_call(id);
    --running_;
    running_work_ -= record.expected_work;
    backend_answer answer;
    answer.code = result_code::caller_gone;
    send_finished(route, record.key, answer, false, nullptr, record.started);
    by_attempt_.erase(record.key);
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
        call_record& record = calls_.at(next->id);
        if (!can_finish(record, now))
        {
            refuse_call(next->id, {result_code::deadline_unreachable,
                                   expected_queue_wait()});
            continue;
        }
        record.running = true;
        record.started = now;
        record.call.time_limit = elapsed(now, record.deadline);
        ++running_;
        running_work_ += record.expected_work;
        actions_.start_call(record.call);
    }
}

bool agent_core::can_finish(const call_record& record,
                            boot_clock::time_point now) const
{
    return now < record.deadline &&
           now + record.expected_work <= record.deadline;
}

void agent_core::refuse(const std::string& route, const attempt_key& key,
                        admission reason)
{
    wire::envelope message;
    wire::refused& refused = *message.mutable_refused();
    set_ref(*refused.mutable_ref(), key);
    refused.set_code(static_cast<std::uint32_t>(reason.code));
    refused.set_retry_after_us(to_wire(reason.retry_after));
    report_load(*refused.mutable_load());
    send(route, message);
}

void agent_core::refuse_call(call_id id, admission reason)
{
    const auto found = calls_.find(id);
    const call_record record = std::move(found->second);
    calls_.erase(found);
    by_attempt_.erase(record.key);
    if (!record.call.key.empty())
    {
        keys_.release(record.call.key);
    }
    refuse(record.route, record.key, reason);
}

void agent_core::send_finished(const std::string& route, const attempt_key& key,
                               const backend_answer& answer, bool repeated,
                               const call_record* record,
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
    if (record != nullptr)
    {
        finished.set_chunks(record->chunks);
        finished.set_digest(record->digest.value());
        finished.set_queue_us(to_wire(record->started - record->received));
        finished.set_service_us(to_wire(now - record->started));
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
