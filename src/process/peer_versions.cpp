#include "process/peer_versions.hpp"

#include "base/log.hpp"
#include "version/configuration_store.hpp"
#include "wire/mangolink.pb.h"

#include <algorithm>

namespace mangolink
{
namespace
{

/// A pull that brought nothing is repeated after this time.
constexpr milliseconds pull_retry{500};

/// Peers remembered; entries come and go with new routes.
constexpr std::size_t max_peers = 4096;

} // namespace

peer_versions::peer_versions(configuration_store& store, send_function send)
    : store_(store), send_(std::move(send))
{
}

void peer_versions::stamp(wire::envelope& message) const
{
    const configuration_position own = store_.position();
    message.mutable_position()->set_number(own.number);
    message.mutable_position()->set_digest(own.digest);
}

void peer_versions::heard(const std::string& peer,
                          const wire::configuration_position& position,
                          boot_clock::time_point now)
{
    if (peers_.size() >= max_peers && !peers_.contains(peer))
    {
        peers_.clear();
    }
    peers_[peer] = position.number();
    if (!store_.behind({position.number(), position.digest()}) ||
        now - last_pull_ < pull_retry)
    {
        return;
    }
    last_pull_ = now;
    wire::envelope message;
    message.mutable_pull()->set_after(store_.position().number);
    send_(peer, message);
}

void peer_versions::on_pull(const std::string& peer,
                            const wire::configuration_pull& message)
{
    configuration_update update = store_.updates_after(message.after());
    if (update.patches.empty() && update.whole.empty())
    {
        return;
    }
    wire::envelope reply;
    wire::configuration_push& push = *reply.mutable_push();
    for (auto& patch : update.patches)
    {
        push.add_documents(std::move(patch));
    }
    push.set_whole(std::move(update.whole));
    send_(peer, reply);
}

bool peer_versions::on_push(const wire::configuration_push& message)
{
    last_pull_ = {};
    bool changed = false;
    for (const auto& document : message.documents())
    {
        changed = store_.accept_patch(document).changed || changed;
    }
    if (!message.whole().empty())
    {
        changed = store_.accept_whole(message.whole()).changed || changed;
    }
    return changed;
}

void peer_versions::announce()
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

void peer_versions::tell_all()
{
    for (const auto& [peer, number] : peers_)
    {
        send_position(peer);
    }
}

void peer_versions::send_position(const std::string& peer)
{
    wire::envelope message;
    message.mutable_heartbeat();
    send_(peer, message);
}

void peer_versions::forget(const std::string& peer)
{
    peers_.erase(peer);
}

} // namespace mangolink
