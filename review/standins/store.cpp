#include "store.hpp"

#include <algorithm>

namespace review
{
namespace
{

/// Returns a parameter of the query of a target.
std::string parameter(const std::string& target, const std::string& name)
{
    for (const char* before : {"?", "&"})
    {
        const auto at = target.find(before + name + "=");
        if (at != std::string::npos)
        {
            const auto begin = at + name.size() + 2;
            return target.substr(begin, target.find('&', begin) - begin);
        }
    }
    return {};
}

std::string base64(const std::string& bytes)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U;
            group += i + j < bytes.size()
                         ? static_cast<unsigned char>(bytes[i + j])
                         : 0U;
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            const auto digit = group >> (18U - 6U * j) & 63U;
            text += i + j <= bytes.size() ? digits[digit] : '=';
        }
    }
    return text;
}

std::string item_text(const std::string& key, const std::string& value,
                      unsigned revision, unsigned creation)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) +
           R"(","revision":)" + std::to_string(revision) +
           R"(,"creationRevision":)" + std::to_string(creation) +
           R"(,"leaseId":0})";
}

void append(std::string& list, const std::string& text)
{
    list += list.empty() ? "" : ",";
    list += text;
}

} // namespace

store::store()
    : server_([this](connection& peer, const message& request)
              { return handle(peer, request); })
{
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    item& entry = current_.items[key];
    entry.value = value;
    entry.revision = ++current_.revision;
    entry.creation = entry.creation == 0 ? entry.revision : entry.creation;
    current_.history.push_back({key, entry});
    changed_.notify_all();
}

void store::take_copy()
{
    const std::lock_guard lock(mutex_);
    copy_ = current_;
}

void store::go_away()
{
    const std::lock_guard lock(mutex_);
    away_ = true;
    changed_.notify_all();
}

void store::come_back()
{
    const std::lock_guard lock(mutex_);
    current_ = copy_;
    ++era_;
    away_ = false;
    changed_.notify_all();
}

bool store::handle(connection& peer, const message& request)
{
    const auto target = request.target();
    const auto prefix = parameter(target, "prefix");
    if (target.starts_with("/v1/kv-range"))
    {
        return answer_range(peer, prefix, parameter(target, "after"));
    }
    if (target.starts_with("/v1/kv-watch"))
    {
        return answer_watch(
            peer, prefix,
            static_cast<unsigned>(std::stoul(parameter(target, "after"))),
            milliseconds(std::stol(parameter(target, "waitMs"))));
    }
    const std::lock_guard lock(mutex_);
    return peer.send(answer(404, ""));
}

bool store::answer_range(connection& peer, const std::string& prefix,
                         const std::string& after)
{
    const std::lock_guard lock(mutex_);
    std::string entries;
    for (const auto& [key, entry] : current_.items)
    {
        if (key.starts_with(prefix) && key > after)
        {
            append(entries,
                   item_text(key, entry.value, entry.revision, entry.creation));
        }
    }
    return !away_ &&
           peer.send(answer(200, R"({"entries":[)" + entries +
                                     R"(],"hasMore":false,"at":)" +
                                     std::to_string(current_.revision) + "}"));
}

bool store::answer_watch(connection& peer, const std::string& prefix,
                         unsigned after, milliseconds wait)
{
    const auto deadline = clock::now() + wait;
    std::unique_lock lock(mutex_);
    const auto era = era_;
    while (true)
    {
        if (away_)
        {
            return false;
        }
        if (era != era_ || after > current_.revision)
        {
            return peer.send(answer(410, ""));
        }
        std::string events;
        for (const auto& each : current_.history)
        {
            if (each.written.revision > after && each.key.starts_with(prefix))
            {
                append(events,
                       item_text(each.key, each.written.value,
                                 each.written.revision, each.written.creation));
            }
        }
        if (!events.empty() || clock::now() >= deadline)
        {
            return peer.send(
                answer(200, R"({"events":[)" + events + R"(],"at":)" +
                                std::to_string(current_.revision) + "}"));
        }
        changed_.wait_until(lock, deadline);
    }
}

std::string store::answer(int status, const std::string& body) const
{
    return response(status, body,
                    "Content-Type: application/json\r\nStore-Era: " +
                        std::to_string(era_) + "\r\n");
}

} // namespace review
