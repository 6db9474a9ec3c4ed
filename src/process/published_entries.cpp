#include "process/published_entries.hpp"

#include "base/hash.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace mangolink
{
namespace
{

/// Length of the history. A follower polls about once a second, and a pool of
/// hundreds of servers changes more slowly than this.
constexpr std::size_t max_past_changes = 256;

std::uint64_t digest_of(const backend_server& entry)
{
    return stable_hash(absl::StrCat(
        entry.id, "\n", entry.service, "\n", entry.address.text(), "\n",
        entry.zone, "\n", entry.slots, "\n", entry.started_ms, "\n",
        static_cast<int>(entry.leaving), "\n", entry.cold_period));
}

} // namespace

void published_entries::replace_all(const std::vector<backend_server>& entries)
{
    absl::flat_hash_map<std::string, backend_server> next;
    for (const auto& entry : entries)
    {
        next.emplace(entry.id, entry);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : entries_)
    {
        if (!next.contains(id))
        {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing)
    {
        remove(id);
    }
    for (const auto& [id, entry] : next)
    {
        put(entry);
    }
}

void published_entries::put(const backend_server& entry)
{
    const auto found = entries_.find(entry.id);
    if (found != entries_.end() && found->second.has_same_attributes(entry))
    {
        found->second = entry;
        return;
    }
    record({entry.id, entry});
    // A sum of hashes does not depend on the order of the changes.
    digest_ -= found == entries_.end() ? 0 : digest_of(found->second);
    digest_ += digest_of(entry);
    entries_[entry.id] = entry;
}

void published_entries::remove(const std::string& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
    {
        return;
    }
    record({id, std::nullopt});
    digest_ -= digest_of(found->second);
    entries_.erase(found);
}

std::optional<std::vector<entry_change>>
published_entries::changes_since(std::uint64_t digest) const
{
    std::vector<entry_change> changes;
    if (digest == digest_)
    {
        return changes;
    }
    const auto last = std::find_if(past_changes_.rbegin(), past_changes_.rend(),
                                   [digest](const auto& past)
                                   { return past.digest_before == digest; });
    if (last == past_changes_.rend())
    {
        return std::nullopt;
    }
    for (auto past = std::prev(last.base()); past != past_changes_.end();
         ++past)
    {
        changes.push_back(past->change);
    }
    return changes;
}

std::vector<backend_server> published_entries::all() const
{
    std::vector<backend_server> result;
    result.reserve(entries_.size());
    for (const auto& [id, entry] : entries_)
    {
        result.push_back(entry);
    }
    return result;
}

void published_entries::record(entry_change change)
{
    past_changes_.push_back({digest_, std::move(change)});
    if (past_changes_.size() > max_past_changes)
    {
        past_changes_.pop_front();
    }
}

} // namespace mangolink
