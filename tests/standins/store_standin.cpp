#include "standins/store_standin.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

/// Entries per page; small, so that tests read several pages.
constexpr std::size_t page_size = 3;

constexpr milliseconds watch_check_interval{10};

/// Decodes a part of a query: a plus is a blank, %XX is a byte.
std::string decode_query_text(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const std::string digits(text.substr(at + 1, 2));
        std::uint32_t byte = 0;
        if (text[at] == '%' && digits.size() == 2 &&
            absl::SimpleHexAtoi(digits, &byte))
        {
            decoded += static_cast<char>(byte);
            at += 2;
        }
        else
        {
            decoded += text[at] == '+' ? ' ' : text[at];
        }
    }
    return decoded;
}

/// Returns a parameter of the query of a target, or an empty text. A fragment
/// is no part of the query.
std::string query_parameter(std::string_view target, std::string_view name)
{
    target = target.substr(0, target.find('#'));
    auto rest = target.substr(std::min(target.find('?'), target.size()));
    while (!rest.empty())
    {
        rest.remove_prefix(1); // the separator
        const auto field = rest.substr(0, rest.find('&'));
        rest.remove_prefix(field.size());
        const auto equals = field.find('=');
        if (decode_query_text(field.substr(0, equals)) == name)
        {
            return equals == std::string_view::npos
                       ? ""
                       : decode_query_text(field.substr(equals + 1));
        }
    }
    return {};
}

} // namespace

store_standin::store_standin()
    : server_([this](const text_request& request, standin_server::reply reply)
              { handle(request, delayed(std::move(reply))); })
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
    write(key, value);
}

void store_standin::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    state_.items.erase(key);
    state_.history.push_back({++state_.revision, key, std::nullopt});
}

void store_standin::compact()
{
    const std::lock_guard lock(mutex_);
    state_.oldest_revision = state_.revision + 1;
    state_.history.clear();
    ++state_.revision;
}

void store_standin::take_copy()
{
    const std::lock_guard lock(mutex_);
    copy_ = state_;
}

void store_standin::come_back(
    const std::vector<std::pair<std::string, std::string>>& written_again)
{
    const std::lock_guard lock(mutex_);
    restore(written_again);
}

void store_standin::come_back_between_pages(
    std::vector<std::pair<std::string, std::string>> written_again)
{
    const std::lock_guard lock(mutex_);
    return_between_pages_ = std::move(written_again);
}

void store_standin::restore(
    const std::vector<std::pair<std::string, std::string>>& written_again)
{
    state_ = copy_;
    ++era_;
    for (const auto& [key, value] : written_again)
    {
        write(key, value);
    }
}

void store_standin::hide_key(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    hidden_key_ = key;
}

void store_standin::set_mode(store_mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
}

standin_server::reply store_standin::delayed(standin_server::reply reply) const
{
    return [reply = std::move(reply),
            latency = milliseconds(latency_ms_)](scripted_answer script)
    {
        if (!script.parts.empty())
        {
            script.parts.front().pause += latency;
        }
        reply(std::move(script));
    };
}

void store_standin::handle(const text_request& request,
                           standin_server::reply reply)
{
    const std::lock_guard lock(mutex_);
    const auto number = ++calls_;
    const std::string target(request.target());
    if (mode_ == store_mode::busy)
    {
        reply(answer(503, ""));
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
        if (return_between_pages_ && !after.empty())
        {
            restore(*std::exchange(return_between_pages_, std::nullopt));
        }
        reply(range(prefix, repeats_first_page_ ? "" : after));
    }
    else
    {
        const auto from = std::stoull(after);
        const milliseconds wait(std::stoll(query_parameter(target, "waitMs")));
        if (watch_mode_ == watch_mode::garbled)
        {
            reply(answer(200, "{\"events\":[\xff"));
            return;
        }
        const bool ends_at_once = watch_mode_ == watch_mode::ended_at_once;
        if (auto now = events(prefix, from, ends_at_once))
        {
            reply(std::move(*now));
            return;
        }
        watches_.push_back(
            {prefix, from, std::move(reply), boot_clock::now() + wait});
    }
}

void store_standin::write(const std::string& key, const std::string& value)
{
    item& entry = state_.items[key];
    entry.value = value;
    entry.revision = ++state_.revision;
    entry.created = entry.created == 0 ? state_.revision : entry.created;
    state_.history.push_back({state_.revision, key, entry});
}

scripted_answer store_standin::answer(unsigned status,
                                      const std::string& body) const
{
    std::vector<std::string> headers{"Content-Type: application/json"};
    if (sends_era_)
    {
        headers.push_back("Store-Era: " + std::to_string(era_));
    }
    return scripted_answer::of(status, body, headers);
}

scripted_answer store_standin::read(const std::string& key) const
{
    const auto found = state_.items.find(key);
    if (found == state_.items.end())
    {
        return answer(404, "");
    }
    auto body = json::parse(entry_json(key, found->second));
    body["at"] = state_.revision;
    return answer(200, body.dump());
}

scripted_answer store_standin::range(const std::string& prefix,
                                     const std::string& after) const
{
    std::vector<std::string> entries;
    bool more = false;
    for (const auto& [key, entry] : state_.items)
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
    return answer(200, "{\"entries\":[" + absl::StrJoin(entries, ",") +
                           "],\"hasMore\":" + (more ? "true" : "false") +
                           ",\"at\":" + std::to_string(state_.revision) + "}");
}

std::optional<scripted_answer> store_standin::events(const std::string& prefix,
                                                     std::uint64_t after,
                                                     bool timed_out) const
{
    if (after + 1 < state_.oldest_revision || after > state_.revision)
    {
        return answer(410, "");
    }
    std::vector<std::string> list;
    for (const auto& entry : state_.history)
    {
        if (entry.revision <= after || !entry.key.starts_with(prefix))
        {
            continue;
        }
        const json removal{{"revision", entry.revision}, {"compacted", true}};
        list.push_back(entry.new_item ? entry_json(entry.key, *entry.new_item)
                                      : with_key(removal, entry.key));
    }
    if (list.empty() && !timed_out)
    {
        return std::nullopt;
    }
    return answer(200, "{\"events\":[" + absl::StrJoin(list, ",") +
                           "],\"at\":" + std::to_string(state_.revision) + "}");
}

std::string store_standin::entry_json(const std::string& key,
                                      const item& entry) const
{
    const json fields{{"value", absl::Base64Escape(entry.value)},
                      {"revision", entry.revision},
                      {"creationRevision", entry.created},
                      {"leaseId", 0}};
    return key == hidden_key_ ? fields.dump() : with_key(fields, key);
}

std::string store_standin::with_key(const json& fields,
                                    const std::string& key) const
{
    std::string text = "{\"key\":\"";
    for (const char c : key)
    {
        const auto byte = static_cast<unsigned char>(c);
        constexpr unsigned char first_beyond_ascii = 0x80;
        if (byte >= first_beyond_ascii && escapes_key_bytes_)
        {
            absl::StrAppendFormat(&text, "\\udc%02x", byte);
        }
        else if (byte < ' ' || c == '"' || c == '\\')
        {
            absl::StrAppendFormat(&text, "\\u%04x", byte);
        }
        else
        {
            text += c; // also a byte that is not UTF-8
        }
    }
    return text + "\"," + fields.dump().substr(1);
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
                      auto result =
                          events(entry.prefix, entry.after, timed_out);
                      if (result)
                      {
                          entry.reply(std::move(*result));
                      }
                      return result.has_value();
                  });
}

} // namespace mangolink::test
