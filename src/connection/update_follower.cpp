#include "connection/update_follower.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/listening_socket.hpp"
#include "connection/peer_call.hpp"
#include "connection/service_task.hpp"
#include "connection/store_reader_activation.hpp"
#include "connection/update_message.hpp"
#include "roles/gateway_state.hpp"
#include "roles/gateway_state_updater.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Longest time that a request waits for an update.
constexpr milliseconds max_response_wait{1000};
constexpr milliseconds response_timeout_margin{500};

/// Delay after a response, in which an announced configuration can be read.
constexpr milliseconds min_interval{40};

/// Time for which a failed peer gets no requests.
constexpr milliseconds ejection_time{3000};

/// Interval at which a process that reads the store itself looks for a peer to
/// follow.
constexpr milliseconds source_search_interval{250};

} // namespace

update_follower::update_follower(asio::io_context& io, gateway_state& state,
                                 gateway_state_updater& updater,
                                 const peer_directory& peers,
                                 store_reader_activation& activation,
                                 backend_caller calls,
                                 metrics_registry& metrics)
    : io_(io), state_(state), updater_(updater), peers_(peers),
      activation_(activation), calls_(std::move(calls)),
      succeeded_(metrics.counter("mangolink_updates_total", "how=\"taken\"")),
      failed_(metrics.counter("mangolink_updates_total", "how=\"failed\""))
{
    spawn_service(io_, "update follower", [this] { return run(); });
}

void update_follower::peers_changed()
{
    const auto exchange = exchange_.lock();
    if (!exchange || !source_)
    {
        return;
    }
    const peer* known = peers_.find(source_->name);
    if (known == nullptr ||
        known->process_incarnation != source_->process_incarnation)
    {
        exchange->abort();
    }
}

asio::awaitable<void> update_follower::run()
{
    while (true)
    {
        const peer* from = choose_source(boot_clock::now());
        if (from == nullptr)
        {
            activate_own_reader("no process to follow");
            co_await pause(io_, source_search_interval);
            continue;
        }
        source_ = *from;
        if (co_await request_update(*source_))
        {
            succeeded_.add();
            if (activation_.is_active())
            {
                log_notice("updates", "Following updates of another process.",
                           {{"process", source_->name}});
                activation_.set_active(false);
            }
            co_await pause(io_, min_interval);
            continue;
        }
        failed_.add();
        ejected_until_[source_->name] = boot_clock::now() + ejection_time;
        activate_own_reader(source_->name + " provides no updates");
    }
}

const peer* update_follower::choose_source(boot_clock::time_point now) const
{
    // The first list of servers is always read from the platform store.
    if (!updater_.entries_age(now))
    {
        return nullptr;
    }
    const auto rank = [this](const peer& one)
    { return stable_hash(one.name, stable_hash(peers_.self().name)); };
    const peer* best = nullptr;
    for (const peer* one : peers_.readers())
    {
        if (one == &peers_.self())
        {
            return nullptr;
        }
        const auto found = ejected_until_.find(one->name);
        const bool trusted =
            found == ejected_until_.end() || found->second <= now;
        if (trusted && (best == nullptr || rank(*one) > rank(*best)))
        {
            best = one;
        }
    }
    return best;
}

asio::awaitable<bool> update_follower::request_update(peer from)
{
    const auto wait = state_.freshness().refresh_interval(max_response_wait);
    const update_request known{state_.configuration_version(),
                               updater_.entries().digest(), wait,
                               state_.evacuations().digest()};
    const auto sent_at = boot_clock::now();
    text_request request =
        peer_request(from, update_path, encode_update_request(known));
    auto to = to_backend_server(from);
    const milliseconds limit = wait + response_timeout_margin;
    const auto reply =
        co_await calls_.call(std::move(to), std::move(request),
                             send_permit::unlimited(), limit, &exchange_);
    if (!reply || reply->result() != http::status::ok)
    {
        co_return false;
    }
    const auto response =
        decode_update_response(reply->body(), boot_clock::now());
    co_return response&& apply(*response, sent_at);
}

bool update_follower::apply(const update_response& response,
                            boot_clock::time_point sent_at)
{
    const auto now = boot_clock::now();
    const auto valid_at = sent_at + response.held; // a lower bound
    if (response.entries_age > max_relayed_age)
    {
        return false;
    }
    if (response.failure_age)
    {
        updater_.record_peer_failure(now - *response.failure_age);
    }
    if (response.is_snapshot)
    {
        std::vector<backend_server> all;
        for (const auto& change : response.changes)
        {
            all.push_back(*change.entry);
        }
        updater_.replace_relayed_servers(std::move(all), now);
    }
    for (const auto& change : response.changes)
    {
        if (!response.is_snapshot && change.entry)
        {
            updater_.put_relayed(*change.entry);
        }
        else if (!response.is_snapshot)
        {
            updater_.remove_server(change.id, now);
        }
    }
    updater_.confirm_entries(valid_at - response.entries_age);
    updater_.replace_evacuations(response.evacuations, response.evacuations_at,
                                 now);
    const auto known = state_.configuration_version();
    if (response.configuration_version == known)
    {
        updater_.confirm_configuration(valid_at - response.configuration_age);
    }
    else if (response.configuration_version > known)
    {
        activation_.want_configuration();
    }
    return true;
}

void update_follower::activate_own_reader(const std::string& reason)
{
    if (!activation_.is_active())
    {
        log_notice("updates", "Reading the platform store directly.",
                   {{"why", reason}});
        activation_.set_active(true);
    }
}

} // namespace mangolink
