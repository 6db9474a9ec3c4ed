#include "standins/pool_standin.hpp"

#include <nlohmann/json.hpp>

namespace mangolink::test
{

using nlohmann::json;

pool_standin::pool_standin(std::string id, milliseconds call_time)
    : id_(std::move(id)), call_time_(call_time),
      server_([this](const text_request& request,
                     const standin_server::reply& reply)
              { handle(request, reply); })
{
}

void pool_standin::fail_next(unsigned pieces, const std::string& reason)
{
    const std::lock_guard lock(mutex_);
    fail_ = pieces;
    fail_reason_ = reason;
}

std::vector<seen_piece> pool_standin::seen() const
{
    const std::lock_guard lock(mutex_);
    return seen_;
}

std::vector<std::size_t> pool_standin::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

std::size_t pool_standin::kept() const
{
    const std::lock_guard lock(mutex_);
    return kept_.size();
}

void pool_standin::handle(const text_request& request,
                          const standin_server::reply& reply)
{
    if (request["X-Expect-Instance"] != id_)
    {
        reply(scripted_answer::of(421, "", {"X-Instance-Id: " + id_}));
        return;
    }
    if (request.target() == "/v1/stage-free")
    {
        const std::lock_guard lock(mutex_);
        const auto body = json::parse(request.body());
        for (const auto& handle : body["handles"])
        {
            kept_.erase(handle.get<std::string>());
        }
        reply(scripted_answer::of(200, ""));
        return;
    }
    if (request.target() == "/v1/report")
    {
        const json report{
            {"waiting", 0}, {"busy", false}, {"availableMb", full_ ? 0 : 10}};
        reply(scripted_answer::of(200, report.dump(),
                                  {"Content-Type: application/json"}));
        return;
    }
    if (shed_ > 0)
    {
        --shed_;
        reply(scripted_answer::of(503, "", {"X-Not-Executed: 1"}));
        return;
    }
    if (hang_ > 0)
    {
        --hang_;
        scripted_answer lost;
        lost.end = answer_end::silent;
        reply(std::move(lost));
        return;
    }
    auto script = make(request.body());
    script.parts.front().pause = call_time_;
    reply(std::move(script));
}

scripted_answer pool_standin::make(const std::string& body)
{
    const std::lock_guard lock(mutex_);
    const auto call = json::parse(body);
    auto ends = json::array();
    calls_.push_back(call["entries"].size());
    for (const auto& row : call["entries"])
    {
        seen_piece piece{row["id"], row["phase"], row["segment"],
                         row.value("key", std::string()),
                         row.value("inputHandles", std::vector<std::string>())};
        seen_.push_back(piece);
        if (full_)
        {
            ends.push_back({{"reason", "room"}});
            continue;
        }
        if (fail_ > 0)
        {
            --fail_;
            ends.push_back({{"reason", fail_reason_}});
            continue;
        }
        const std::string handle = server_.address().text() + "/" +
                                   std::to_string(++made_) + "-" +
                                   piece.request;
        kept_.insert(handle);
        ends.push_back({{"handle", handle}});
    }
    return scripted_answer::of(200, json{{"entries", ends}}.dump(),
                               {"Content-Type: application/json"});
}

} // namespace mangolink::test
