#include "standins/store_standin.hpp"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

/// Entries per page; small, so that tests read several pages.
constexpr std::size_t page_size = 3;

constexpr milliseconds watch_check_interval{10};

std::string query_parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

scripted_answer json_answer(const json& body)
{
    return scripted_answer::of(200, body.dump(),
                               {"Content-Type: application/json"});
}

} // namespace

store_standin::store_standin()
    : server_([this](const text_request& request, standin_server::reply reply)
              { handle(request, std::move(reply)); })
{
    server_.post([this] { check_watches(); }, watch_check_interval);
}

store_standin::~store_standin()
{
    // The replies of pending watches refer to the server.
    server_.stop();
    watches_.clear();
}

void store_standin::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    item& entry = items_[key];
    entry.value = value;
    entry.revision = ++revision_;
    entry.created = entry.created == 0 ? revision_ : entry.created;
    history_.push_back({revision_, key, entry});
}

void store_standin::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    history_.push_back({++revision_, key, std::nullopt});
}

void store_standin::compact()
{
    const std::lock_guard lock(mutex_);
    oldest_revision_ = revision_ + 1;
    history_.clear();
    ++revision_;
}

void store_standin::set_mode(store_mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
}

void store_standin::handle(const text_request& request,
                           standin_server::reply reply)
{
    const std::lock_guard lock(mutex_);
    const auto number = ++calls_;
    const std::string target(request.target());
    if (mode_ == store_mode::busy)
    {
        reply(scripted_answer::of(503, ""));
        return;
    }
    if (mode_ == store_mode::unresponsive ||
        (drop_answer_every_ != 0 && number % drop_answer_every_ == 0))
    {
        scripted_answer unanswered;
        unanswered.end = answer_end::unresponsive;
        reply(std::move(unanswered));
        return;
    }
    const auto prefix = query_parameter(target, "prefix");
    const auto after = query_parameter(target, "after");
    if (target.starts_with("/v1/kv-key"))
    {
        reply(read(query_parameter(target, "key")));
    }
    else if (target.starts_with("/v1/kv-range"))
    {
        reply(range(prefix, after));
    }
    else
    {
        const auto from = std::stoull(after);
        const milliseconds wait(std::stoll(query_parameter(target, "waitMs")));
        if (auto now = events(prefix, from, false))
        {
            reply(std::move(*now));
            return;
        }
        watches_.push_back(
            {prefix, from, std::move(reply), boot_clock::now() + wait});
    }
}

scripted_answer store_standin::read(const std::string& key) const
{
    const auto found = items_.find(key);
    if (found == items_.end())
    {
        return scripted_answer::of(404, "");
    }
    auto body = entry_json(key, found->second);
    body["at"] = revision_;
    return json_answer(body);
}

scripted_answer store_standin::range(const std::string& prefix,
                                     const std::string& after) const
{
    auto entries = json::array();
    bool more = false;
    for (const auto& [key, entry] : items_)
    {
        if (!key.starts_with(prefix) || key <= after)
        {
            continue;
        }
        more = entries.size() == page_size;
        if (more)
        {
            break;
        }
        entries.push_back(entry_json(key, entry));
    }
    return json_answer(
        {{"entries", entries}, {"hasMore", more}, {"at", revision_}});
}

std::optional<scripted_answer> store_standin::events(const std::string& prefix,
                                                     std::uint64_t after,
                                                     bool timed_out) const
{
    if (after + 1 < oldest_revision_)
    {
        return scripted_answer::of(410, "");
    }
    auto list = json::array();
    for (const auto& entry : history_)
    {
        if (entry.revision <= after || !entry.key.starts_with(prefix))
        {
            continue;
        }
        list.push_back(entry.new_item ? entry_json(entry.key, *entry.new_item)
                                      : json{{"key", entry.key},
                                             {"revision", entry.revision},
                                             {"compacted", true}});
    }
    if (list.empty() && !timed_out)
    {
        return std::nullopt;
    }
    return json_answer({{"events", list}, {"at", revision_}});
}

json store_standin::entry_json(const std::string& key, const item& entry) const
{
    return {{"key", key},
            {"value", absl::Base64Escape(entry.value)},
            {"revision", entry.revision},
            {"creationRevision", entry.created},
            {"leaseId", 0}};
}

void store_standin::check_watches()
{
    answer_watches();
    server_.post([this] { check_watches(); }, watch_check_interval);
}

void store_standin::answer_watches()
{
    const std::lock_guard lock(mutex_);
    const auto now = boot_clock::now();
    std::erase_if(watches_,
                  [&](pending_watch& entry)
                  {
                      const bool timed_out = now >= entry.deadline;
                      auto answer =
                          events(entry.prefix, entry.after, timed_out);
                      if (answer)
                      {
                          entry.reply(std::move(*answer));
                      }
                      return answer.has_value();
                  });
}

} // namespace mangolink::test
