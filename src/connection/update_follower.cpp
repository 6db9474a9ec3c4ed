#include "connection/update_follower.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/listening_socket.hpp"
#include "connection/peer_call.hpp"
#include "connection/store_reader_activation.hpp"
#include "connection/update_message.hpp"
#include "roles/gateway_state.hpp"
#include "roles/gateway_state_updater.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Longest time that a question waits for news; with the age of what the
/// other process knows it stays well under the time that keys are trusted.
constexpr milliseconds max_response_wait{1000};
constexpr milliseconds response_timeout_margin{500};

/// Pause after an answer; a configuration that is told of is read meanwhile.
constexpr milliseconds min_interval{40};

/// How long a process that failed is not asked again.
constexpr milliseconds ejection_time{3000};

/// How often a process that reads itself looks for one to follow.
constexpr milliseconds source_search_interval{250};

} // namespace

update_follower::update_follower(asio::io_context& io, gateway_state& state,
                                 gateway_state_updater& updater,
                                 const peer_directory& peers,
                                 store_reader_activation& activation,
                                 backend_caller calls,
                                 metrics_registry& metrics)
    : io_(io), state_(state), updater_(updater), peers_(peers),
      activation_(activation), calls_(calls),
      taken_(metrics.counter("mangolink_updates_total", "how=\"taken\"")),
      failed_(metrics.counter("mangolink_updates_total", "how=\"failed\""))
{
    asio::co_spawn(io_, run(), asio::detached);
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
        const peer* from = choose(boot_clock::now());
        if (from == nullptr)
        {
            activate_own_reader("no process to follow");
            co_await pause(io_, source_search_interval);
            continue;
        }
        source_ = *from;
        if (co_await request_update(*source_))
        {
            taken_.add();
            if (activation_.is_active())
            {
                log_notice("updates", "Followed from another process.",
                           {{"process", source_->name}});
                activation_.set_active(false);
            }
            co_await pause(io_, min_interval);
            continue;
        }
        failed_.add();
        ejected_until_[source_->name] = boot_clock::now() + ejection_time;
        activate_own_reader(source_->name + " does not tell");
    }
}

const peer* update_follower::choose(boot_clock::time_point now) const
{
    // What is known first is read from the platform, without a detour.
    if (!state_.configuration() || !updater_.entries_age(now))
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
    const update_request question{state_.configuration()->version(),
                                  updater_.entries().digest(),
                                  max_response_wait};
    const auto asked = boot_clock::now();
    text_request request =
        peer_request(from, update_path, encode_update_request(question));
    auto to = to_backend_server(from);
    const milliseconds limit = max_response_wait + response_timeout_margin;
    const auto reply = co_await calls_.call(std::move(to), std::move(request),
                                            limit, &exchange_);
    if (!reply || reply->result() != http::status::ok)
    {
        co_return false;
    }
    const auto answer = decode_update_response(reply->body());
    co_return answer&& take(*answer, asked);
}

bool update_follower::take(const update_response& answer,
                           boot_clock::time_point asked)
{
    const auto now = boot_clock::now();
    const auto told = asked + answer.held; // the answer is no older
    if (answer.entries_age > max_relayed_age)
    {
        return false;
    }
    if (answer.failure_age)
    {
        updater_.record_peer_failure(now - *answer.failure_age);
    }
    if (answer.whole)
    {
        std::vector<backend_server> all;
        for (const auto& change : answer.changes)
        {
            all.push_back(*change.entry);
        }
        updater_.replace_servers(std::move(all), now);
    }
    for (const auto& change : answer.changes)
    {
        if (!answer.whole && change.entry)
        {
            updater_.put(*change.entry);
        }
        else if (!answer.whole)
        {
            updater_.remove_server(change.id, now);
        }
    }
    updater_.confirm_entries(told - answer.entries_age);
    const auto known = state_.configuration()->version();
    if (answer.configuration_version == known)
    {
        updater_.confirm_configuration(told - answer.configuration_age);
    }
    else if (answer.configuration_version > known)
    {
        activation_.want_configuration();
    }
    return true;
}

void update_follower::activate_own_reader(const std::string& why)
{
    if (!activation_.is_active())
    {
        log_notice("updates", "The platform is read here.", {{"why", why}});
        activation_.set_active(true);
    }
}

} // namespace mangolink
