#include "process/zone_evacuations.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace mangolink
{

evacuation_changes zone_evacuations::begin(const std::string& zone,
                                           std::uint64_t revision,
                                           boot_clock::time_point now)
{
    return add({{zone, revision, now}}, now);
}

evacuation_changes zone_evacuations::end(const std::string& zone)
{
    evacuation_changes changes;
    const auto found = all_.find(zone);
    if (found != all_.end())
    {
        changes.ended.push_back(found->second);
        all_.erase(found);
    }
    return changes;
}

evacuation_changes
zone_evacuations::replace(const std::vector<zone_evacuation>& evacuations,
                          store_position at, boot_clock::time_point now)
{
    if (at < position_)
    {
        return {};
    }
    position_ = at;
    auto changes = add(evacuations, now);
    zone_set listed;
    for (const auto& evacuation : evacuations)
    {
        listed.insert(evacuation.zone);
    }
    std::erase_if(all_,
                  [&](const auto& pair)
                  {
                      const bool over = !listed.contains(pair.first);
                      if (over)
                      {
                          changes.ended.push_back(pair.second);
                      }
                      return over;
                  });
    return changes;
}

evacuation_changes
zone_evacuations::add(const std::vector<zone_evacuation>& evacuations,
                      boot_clock::time_point now)
{
    evacuation_changes changes;
    for (const auto& evacuation : evacuations)
    {
        const auto [found, added] =
            all_.try_emplace(evacuation.zone, evacuation);
        if (added)
        {
            found->second.known_since = now;
            changes.begun.push_back(found->second);
        }
        else
        {
            found->second.revision =
                std::max(found->second.revision, evacuation.revision);
        }
    }
    return changes;
}

void zone_evacuations::confirm(store_position at)
{
    position_ = std::max(position_, at);
}

zone_evacuations::zone_set zone_evacuations::zones() const
{
    zone_set result;
    for (const auto& [zone, evacuation] : all_)
    {
        result.insert(zone);
    }
    return result;
}

std::uint64_t zone_evacuations::digest() const
{
    running_digest digest;
    for (const auto& [zone, evacuation] : all_)
    {
        digest.add(zone);
    }
    return digest.value();
}

} // namespace mangolink
