#include "standins/store_standin.hpp"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

/// Entries of one page; small, so that tests see several.
constexpr std::size_t page_size = 3;

constexpr milliseconds watch_check{10};

std::string argument(const std::string& target, const std::string& name)
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
    server_.post([this] { tick(); }, watch_check);
}

store_standin::~store_standin()
{
    // Replies that wait refer to the server.
    server_.stop();
    watches_.clear();
}

void store_standin::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    item& row = items_[key];
    row.value = value;
    row.revision = ++revision_;
    row.created = row.created == 0 ? revision_ : row.created;
    history_.push_back({revision_, key, row});
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
    oldest_ = revision_ + 1;
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
    if (mode_ == store_mode::silent ||
        (lose_every_ != 0 && number % lose_every_ == 0))
    {
        scripted_answer lost;
        lost.end = answer_end::silent;
        reply(std::move(lost));
        return;
    }
    const auto prefix = argument(target, "prefix");
    const auto after = argument(target, "after");
    if (target.starts_with("/v1/kv-key"))
    {
        reply(read(argument(target, "key")));
    }
    else if (target.starts_with("/v1/kv-range"))
    {
        reply(range(prefix, after));
    }
    else
    {
        const auto from = std::stoull(after);
        const milliseconds wait(std::stoll(argument(target, "waitMs")));
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
    auto body = shown(key, found->second);
    body["at"] = revision_;
    return json_answer(body);
}

scripted_answer store_standin::range(const std::string& prefix,
                                     const std::string& after) const
{
    auto entries = json::array();
    bool more = false;
    for (const auto& [key, row] : items_)
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
        entries.push_back(shown(key, row));
    }
    return json_answer(
        {{"entries", entries}, {"hasMore", more}, {"at", revision_}});
}

std::optional<scripted_answer> store_standin::events(const std::string& prefix,
                                                     std::uint64_t after,
                                                     bool over) const
{
    if (after + 1 < oldest_)
    {
        return scripted_answer::of(410, "");
    }
    auto list = json::array();
    for (const auto& row : history_)
    {
        if (row.revision <= after || !row.key.starts_with(prefix))
        {
            continue;
        }
        list.push_back(row.now ? shown(row.key, *row.now)
                               : json{{"key", row.key},
                                      {"revision", row.revision},
                                      {"compacted", true}});
    }
    if (list.empty() && !over)
    {
        return std::nullopt;
    }
    return json_answer({{"events", list}, {"at", revision_}});
}

json store_standin::shown(const std::string& key, const item& row) const
{
    return {{"key", key},
            {"value", absl::Base64Escape(row.value)},
            {"revision", row.revision},
            {"creationRevision", row.created},
            {"leaseId", 0}};
}

void store_standin::tick()
{
    wake();
    server_.post([this] { tick(); }, watch_check);
}

void store_standin::wake()
{
    const std::lock_guard lock(mutex_);
    const auto now = boot_clock::now();
    std::erase_if(watches_,
                  [&](waiting_watch& row)
                  {
                      const bool over = now >= row.until;
                      auto answer = events(row.prefix, row.after, over);
                      if (answer)
                      {
                          row.reply(std::move(*answer));
                      }
                      return answer.has_value();
                  });
}

} // namespace mangolink::test
