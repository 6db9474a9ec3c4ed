#include "request/key_registry.hpp"

#include "base/hash.hpp"
#include "request/idempotency_key.hpp"

namespace mangolink
{

key_registry::key_registry(std::string server, incarnation own_incarnation,
                           std::size_t max_keys)
    : server_(std::move(server)), own_incarnation_(own_incarnation),
      max_keys_(max_keys)
{
}

key_state key_registry::claim(const std::string& key, std::string_view body,
                              std::chrono::system_clock::time_point now)
{
    const auto parsed = idempotency_key::parse(key);
    if (!parsed || parsed->server != server_ ||
        !(parsed->owner == own_incarnation_))
    {
        return key_state::not_owned;
    }
    if (parsed->expiry <= now)
    {
        return key_state::expired;
    }
    const std::uint64_t digest = stable_hash(body);
    const auto found = records_.find(key);
    if (found != records_.end())
    {
        if (found->second.body_digest != digest)
        {
            return key_state::body_mismatch;
        }
        return found->second.ended ? key_state::ended : key_state::running;
    }
    if (records_.size() >= max_keys_)
    {
        return key_state::table_full;
    }
    records_.emplace(key, key_record{digest, parsed->expiry, false, {}});
    return key_state::fresh;
}

void key_registry::release(const std::string& key)
{
    records_.erase(key);
}

void key_registry::complete(const std::string& key, backend_answer answer)
{
    const auto found = records_.find(key);
    if (found != records_.end())
    {
        found->second.ended = true;
        found->second.answer = std::move(answer);
    }
}

const backend_answer& key_registry::answer(const std::string& key) const
{
    return records_.at(key).answer;
}

void key_registry::expire(std::chrono::system_clock::time_point now)
{
    for (auto it = records_.begin(); it != records_.end();)
    {
        const auto current = it++;
        if (current->second.expiry <= now && current->second.ended)
        {
            records_.erase(current);
        }
    }
}

} // namespace mangolink
