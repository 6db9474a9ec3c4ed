#include "connection/update_source.hpp"

#include "connection/store_reader_activation.hpp"
#include "connection/update_message.hpp"
#include "roles/gateway_state.hpp"
#include "roles/gateway_state_updater.hpp"

#include <algorithm>

namespace mangolink
{

update_source::update_source(asio::io_context& io, const gateway_state& state,
                             const gateway_state_updater& updater,
                             const store_reader_activation& activation)
    : io_(io), state_(state), updater_(updater), activation_(activation)
{
}

void update_source::changed()
{
    for (const auto& wake : waiting_timers_)
    {
        wake->cancel();
    }
}

asio::awaitable<std::optional<std::string>>
update_source::handle_request(std::string request)
{
    const auto known = decode_update_request(request);
    const auto arrival = boot_clock::now();
    while (known && activation_.is_active())
    {
        const auto now = boot_clock::now();
        const auto configuration_age = state_.freshness().age(now);
        const auto entries_age = updater_.entries_age(now);
        if (!configuration_age || !entries_age)
        {
            co_return std::nullopt;
        }
        const auto valid_for = max_relayed_age - *entries_age;
        const auto remaining = std::min(
            valid_for, known->wait - std::chrono::duration_cast<milliseconds>(
                                         now - arrival));
        if (remaining > milliseconds(0) &&
            known->configuration_version >= state_.configuration_version() &&
            known->entries_digest == updater_.entries().digest() &&
            known->evacuations_digest == state_.evacuations().digest())
        {
            const auto wake =
                std::make_shared<asio::steady_timer>(io_, remaining);
            waiting_timers_.push_back(wake);
            error_code ignored; // changed() cancels the wait
            co_await wake->async_wait(redirect_to(ignored));
            std::erase(waiting_timers_, wake);
            continue;
        }
        update_response response;
        response.held = std::chrono::duration_cast<milliseconds>(now - arrival);
        response.configuration_version = state_.configuration_version();
        response.configuration_age = *configuration_age;
        response.entries_age = *entries_age;
        response.failure_age = updater_.failure_age(now);
        auto changes = updater_.entries().changes_since(known->entries_digest);
        response.is_snapshot = !changes;
        if (changes)
        {
            response.changes = std::move(*changes);
        }
        else
        {
            for (auto& entry : updater_.entries().all())
            {
                response.changes.push_back({entry.id, std::move(entry)});
            }
        }
        for (const auto& [zone, evacuation] : state_.evacuations().all())
        {
            response.evacuations.push_back(evacuation);
        }
        response.evacuations_at = state_.evacuations().position();
        co_return encode_update_response(response, now);
    }
    co_return std::nullopt;
}

} // namespace mangolink
