#include "roles/entry_core.hpp"

#include "base/log.hpp"
#include "request/run_result.hpp"
#include "version/configuration_store.hpp"
#include "wire/mangolink.pb.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace mangolink
{
namespace
{

constexpr std::uint32_t schema_version = 1;

/// Validity period of an issued idempotency key.
constexpr std::chrono::minutes key_lifetime{10};

/// An agent with outstanding attempts is considered lost after this many
/// heartbeat intervals without a message.
constexpr int max_missed_heartbeats = 4;

std::string peer_name(member_id id)
{
    return std::to_string(static_cast<std::uint32_t>(id));
}

member_id peer_id(const std::string& name)
{
    return static_cast<member_id>(std::stoul(name));
}

} // namespace

entry_core::entry_core(entry_core_settings settings, incarnation own,
                       configuration_store& store, absl::BitGenRef random,
                       entry_actions& actions)
    : settings_(std::move(settings)), own_(own), store_(store), random_(random),
      actions_(actions),
      replicator_(store,
                  [this](const std::string& peer, wire::envelope& message)
                  { send_to_peer(peer, message); }),
      members_(settings_.members),
      selector_(settings_.selector, members_, random),
      retries_(settings_.retry_share, settings_.retry_reserve),
      executor_(settings_.executor,
                {members_, selector_, estimator_, limiter_, retries_, *this})
{
}

void entry_core::start(run_request request, boot_clock::time_point now)
{
    executor_.start(std::move(request), now);
}

void entry_core::caller_gone(const request_id& id, boot_clock::time_point now)
{
    executor_.on_caller_gone(id, now);
}

void entry_core::on_message(member_id from, wire::envelope& message,
                            boot_clock::time_point now)
{
    if (message.schema() > schema_version || members_.find(from) == nullptr)
    {
        return;
    }
    const incarnation sender(message.sender());
    if (members_.record_message(from, sender, now))
    {
        log_notice("membership", "Agent process was replaced.",
                   {{"server", members_.find(from)->name},
                    {"incarnation", sender.text()}});
        executor_.on_member_lost(from, now);
    }
    record_load(from, message, now);
    replicator_.record_position(peer_name(from), message.position(), now);
    switch (message.body_case())
    {
    case wire::envelope::kChunk:
        executor_.on_chunk(from, sender, *message.mutable_chunk());
        break;
    case wire::envelope::kFinished:
        executor_.on_finished(from, sender, *message.mutable_finished(), now);
        break;
    case wire::envelope::kRefused:
        executor_.on_refused(from, sender, message.refused(), now);
        break;
    case wire::envelope::kPull:
        replicator_.on_pull(peer_name(from), message.pull());
        break;
    case wire::envelope::kPush:
        if (replicator_.on_push(message.push()))
        {
            configuration_changed();
        }
        break;
    default:
        break;
    }
}

void entry_core::configuration_changed()
{
    const auto current = store_.current();
    if (!current)
    {
        return;
    }
    const membership_change change = members_.apply(*current);
    for (const auto& agent : change.removed)
    {
        executor_.on_member_lost(agent.id, agent.last_heard);
        replicator_.remove_peer(peer_name(agent.id));
        actions_.disconnect(agent.id, agent.address);
    }
    for (const member_id id : change.added)
    {
        actions_.connect(id, members_.find(id)->address);
    }
    next_heartbeat_ = {};
    replicator_.announce();
}

void entry_core::mark_instances_leaving(const std::vector<std::string>& names)
{
    for (const auto& name : names)
    {
        members_.mark_leaving(name);
    }
}

void entry_core::on_time(boot_clock::time_point now)
{
    executor_.on_time(now);
    if (now >= next_heartbeat_)
    {
        next_heartbeat_ = now + settings_.heartbeat_interval;
        send_heartbeats(now);
    }
}

boot_clock::time_point entry_core::next_time() const
{
    return std::min(executor_.next_deadline(), next_heartbeat_);
}

issued_key entry_core::issue_key(const pipeline& target,
                                 std::chrono::system_clock::time_point wall,
                                 boot_clock::time_point now)
{
    const auto stage = std::find_if(target.stages.begin(), target.stages.end(),
                                    [](const pipeline_stage& entry)
                                    { return !entry.idempotent; });
    if (stage == target.stages.end())
    {
        return {result_code::key_invalid, {}};
    }
    const auto chosen = selector_.select(stage->pool, {}, microseconds(0), now);
    if (!chosen)
    {
        return {result_code::no_server, {}};
    }
    const member& owner = *members_.find(chosen->id);
    const auto expiry =
        std::chrono::time_point_cast<std::chrono::seconds>(wall) + key_lifetime;
    return {result_code::complete,
            idempotency_key::issue(owner.name, owner.known_incarnation, expiry,
                                   random_)
                .text()};
}

bool entry_core::send(member_id to, wire::envelope& message)
{
    message.set_schema(schema_version);
    message.set_sender(own_.value());
    replicator_.write_position(message);
    return actions_.send(to, message);
}

void entry_core::deliver(const request_id& id, std::string_view text)
{
    actions_.deliver(id, text);
}

void entry_core::finish(const request_id& id, run_result result)
{
    actions_.finish(id, std::move(result));
}

void entry_core::record_load(member_id from, const wire::envelope& message,
                             boot_clock::time_point now)
{
    if (message.has_chunk() && message.chunk().has_load())
    {
        members_.update_load(from, message.chunk().load(), now);
    }
    else if (message.has_finished())
    {
        members_.update_load(from, message.finished().load(), now);
    }
    else if (message.has_refused())
    {
        members_.update_load(from, message.refused().load(), now);
    }
    else if (message.has_heartbeat())
    {
        members_.update_load(from, message.heartbeat().load(), now);
    }
}

void entry_core::send_to_peer(const std::string& peer, wire::envelope& message)
{
    send(peer_id(peer), message);
}

void entry_core::send_heartbeats(boot_clock::time_point now)
{
    const auto heartbeat_timeout =
        settings_.heartbeat_interval * max_missed_heartbeats;
    for (const member_id id : members_.all())
    {
        const member& agent = *members_.find(id);
        const auto silent_time = now - agent.last_heard;
        if (agent.outstanding > 0 && silent_time > heartbeat_timeout)
        {
            executor_.on_member_lost(id, now);
        }
        if (silent_time < settings_.heartbeat_interval / 2)
        {
            continue;
        }
        wire::envelope message;
        message.mutable_heartbeat()->set_answer_wanted(true);
        message.mutable_heartbeat()->set_name(settings_.members.instance);
        send(id, message);
    }
}

} // namespace mangolink
