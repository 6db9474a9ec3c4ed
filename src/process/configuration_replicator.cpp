#include "process/configuration_replicator.hpp"

#include "base/log.hpp"
#include "version/configuration_store.hpp"
#include "wire/mangolink.pb.h"

#include <algorithm>

namespace mangolink
{
namespace
{

/// A pull that returned nothing is retried after this time.
constexpr milliseconds pull_retry{500};

/// Maximum number of known peers; reconnecting entries get new route names.
constexpr std::size_t max_peers = 4096;

} // namespace

configuration_replicator::configuration_replicator(configuration_store& store,
                                                   send_function send)
    : store_(store), send_(std::move(send))
{
}

void configuration_replicator::write_position(wire::envelope& message) const
{
    const configuration_position own = store_.position();
    message.mutable_position()->set_number(own.number);
    message.mutable_position()->set_digest(own.digest);
}

void configuration_replicator::record_position(
    const std::string& peer, const wire::configuration_position& position,
    boot_clock::time_point now)
{
    if (peers_.size() >= max_peers && !peers_.contains(peer))
    {
        peers_.clear();
    }
    peers_[peer] = position.number();
    if (!store_.is_behind({position.number(), position.digest()}) ||
        now - last_pull_ < pull_retry)
    {
        return;
    }
    last_pull_ = now;
    wire::envelope message;
    message.mutable_pull()->set_after(store_.position().number);
    send_(peer, message);
}

void configuration_replicator::on_pull(const std::string& peer,
                                       const wire::configuration_pull& message)
{
    configuration_update update = store_.updates_after(message.after());
    if (update.patches.empty() && update.snapshot.empty())
    {
        return;
    }
    wire::envelope reply;
    wire::configuration_push& push = *reply.mutable_push();
    for (auto& patch : update.patches)
    {
        push.add_documents(std::move(patch));
    }
    push.set_whole(std::move(update.snapshot));
    send_(peer, reply);
}

bool configuration_replicator::on_push(const wire::configuration_push& message)
{
    last_pull_ = {};
    bool changed = false;
    for (const auto& document : message.documents())
    {
        changed = store_.accept_patch(document).changed || changed;
    }
    if (!message.whole().empty())
    {
        changed = store_.accept_snapshot(message.whole()).changed || changed;
    }
    return changed;
}

void configuration_replicator::announce()
{
    const std::uint64_t own = store_.position().number;
    for (const auto& [peer, number] : peers_)
    {
        if (number < own)
        {
            send_position(peer);
        }
    }
}

void configuration_replicator::announce_to_all()
{
    for (const auto& [peer, number] : peers_)
    {
        send_position(peer);
    }
}

void configuration_replicator::send_position(const std::string& peer)
{
    wire::envelope message;
    message.mutable_heartbeat();
    send_(peer, message);
}

void configuration_replicator::remove_peer(const std::string& peer)
{
    peers_.erase(peer);
}

} // namespace mangolink
