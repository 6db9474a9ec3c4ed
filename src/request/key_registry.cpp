#include "request/key_registry.hpp"

#include "base/hash.hpp"
#include "request/idempotency_key.hpp"

namespace mangolink
{

key_registry::key_registry(std::string server, incarnation own,
                           std::size_t most)
    : server_(std::move(server)), own_(own), most_(most)
{
}

key_state key_registry::claim(const std::string& key, std::string_view body,
                              std::chrono::system_clock::time_point now)
{
    const auto parsed = idempotency_key::parse(key);
    if (!parsed || parsed->server != server_ || !(parsed->owner == own_))
    {
        return key_state::foreign;
    }
    if (parsed->expiry <= now)
    {
        return key_state::out_of_date;
    }
    const std::uint64_t digest = stable_hash(body);
    const auto found = rows_.find(key);
    if (found != rows_.end())
    {
        if (found->second.body_digest != digest)
        {
            return key_state::other_body;
        }
        return found->second.ended ? key_state::ended : key_state::running;
    }
    if (rows_.size() >= most_)
    {
        return key_state::table_full;
    }
    rows_.emplace(key, row{digest, parsed->expiry, false, {}});
    return key_state::fresh;
}

void key_registry::release(const std::string& key)
{
    rows_.erase(key);
}

void key_registry::complete(const std::string& key, backend_answer answer)
{
    const auto found = rows_.find(key);
    if (found != rows_.end())
    {
        found->second.ended = true;
        found->second.answer = std::move(answer);
    }
}

const backend_answer& key_registry::answer(const std::string& key) const
{
    return rows_.at(key).answer;
}

void key_registry::expire(std::chrono::system_clock::time_point now)
{
    for (auto it = rows_.begin(); it != rows_.end();)
    {
        const auto current = it++;
        if (current->second.expiry <= now && current->second.ended)
        {
            rows_.erase(current);
        }
    }
}

} // namespace mangolink
