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
    for (const auto& wake : waiting_)
    {
        wake->cancel();
    }
}

asio::awaitable<std::optional<std::string>>
update_source::answer(std::string question)
{
    const auto asked = decode_update_request(question);
    const auto began = boot_clock::now();
    const auto version = [this]
    { return state_.configuration() ? state_.configuration()->version() : 0; };
    while (asked && activation_.is_active())
    {
        const auto now = boot_clock::now();
        const auto configuration_age = state_.freshness().age(now);
        const auto entries_age = updater_.entries_age(now);
        if (!configuration_age || !entries_age)
        {
            co_return std::nullopt;
        }
        const auto unsure_in = max_relayed_age - *entries_age;
        const auto left =
            std::min(unsure_in,
                     asked->wait -
                         std::chrono::duration_cast<milliseconds>(now - began));
        if (left > milliseconds(0) &&
            asked->configuration_version >= version() &&
            asked->entries_digest == updater_.entries().digest())
        {
            const auto wake = std::make_shared<asio::steady_timer>(io_, left);
            waiting_.push_back(wake);
            error_code ignored; // a cancelled wait is an event
            co_await wake->async_wait(redirect_to(ignored));
            std::erase(waiting_, wake);
            continue;
        }
        update_response answer;
        answer.held = std::chrono::duration_cast<milliseconds>(now - began);
        answer.configuration_version = version();
        answer.configuration_age = *configuration_age;
        answer.entries_age = *entries_age;
        answer.failure_age = updater_.failure_age(now);
        auto changes = updater_.entries().changes_since(asked->entries_digest);
        answer.whole = !changes;
        if (changes)
        {
            answer.changes = std::move(*changes);
        }
        else
        {
            for (auto& entry : updater_.entries().all())
            {
                answer.changes.push_back({entry.id, std::move(entry)});
            }
        }
        co_return encode_update_response(answer);
    }
    co_return std::nullopt;
}

} // namespace mangolink
