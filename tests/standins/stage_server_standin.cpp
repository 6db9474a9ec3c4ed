#include "standins/stage_server_standin.hpp"

#include <nlohmann/json.hpp>

namespace mangolink::test
{

using nlohmann::json;

stage_server_standin::stage_server_standin(std::string id,
                                           milliseconds call_time)
    : id_(std::move(id)), call_time_(call_time),
      server_([this](const text_request& request,
                     const standin_server::reply& reply)
              { handle(request, reply); })
{
}

void stage_server_standin::fail_next(unsigned items, const std::string& reason)
{
    const std::lock_guard lock(mutex_);
    items_to_fail_ = items;
    fail_reason_ = reason;
}

void stage_server_standin::set_notice(const std::string& header)
{
    const std::lock_guard lock(mutex_);
    notice_ = header;
}

std::vector<received_item> stage_server_standin::received() const
{
    const std::lock_guard lock(mutex_);
    return received_;
}

std::vector<std::size_t> stage_server_standin::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

std::size_t stage_server_standin::stored_results() const
{
    const std::lock_guard lock(mutex_);
    return stored_results_.size();
}

void stage_server_standin::handle(const text_request& request,
                                  const standin_server::reply& reply)
{
    ++arrivals_;
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
            stored_results_.erase(handle.get<std::string>());
        }
        reply(answer(200, ""));
        return;
    }
    if (request.target() == "/v1/report")
    {
        const std::lock_guard lock(mutex_);
        const json report{
            {"waiting", 0}, {"busy", false}, {"availableMb", full_ ? 0 : 10}};
        reply(answer(200, report.dump()));
        return;
    }
    if (calls_to_shed_ > 0)
    {
        --calls_to_shed_;
        const std::lock_guard lock(mutex_);
        reply(answer(503, ""));
        return;
    }
    if (calls_to_hang_ > 0)
    {
        --calls_to_hang_;
        ++hung_calls_;
        scripted_answer unanswered;
        unanswered.end = answer_end::unresponsive;
        reply(std::move(unanswered));
        return;
    }
    auto script = process_call(request.body());
    script.parts.front().pause = call_time_;
    reply(std::move(script));
}

scripted_answer stage_server_standin::process_call(const std::string& body)
{
    const std::lock_guard lock(mutex_);
    const auto call = json::parse(body);
    auto results = json::array();
    calls_.push_back(call["entries"].size());
    for (const auto& entry : call["entries"])
    {
        received_item item{
            entry["id"], entry["phase"], entry["segment"],
            entry.value("key", std::string()),
            entry.value("inputHandles", std::vector<std::string>())};
        received_.push_back(item);
        if (full_)
        {
            results.push_back({{"reason", "room"}});
            continue;
        }
        if (items_to_fail_ > 0)
        {
            --items_to_fail_;
            results.push_back({{"reason", fail_reason_}});
            continue;
        }
        const std::string handle = server_.address().text() + "/" +
                                   std::to_string(++result_count_) + "-" +
                                   item.request;
        stored_results_.insert(handle);
        results.push_back({{"handle", handle}});
    }
    return answer(200, json{{"entries", results}}.dump());
}

scripted_answer stage_server_standin::answer(int status,
                                             const std::string& body) const
{
    std::vector<std::string> headers{"Content-Type: application/json"};
    if (status == 503)
    {
        headers.emplace_back("X-Not-Executed: 1");
    }
    if (!notice_.empty())
    {
        headers.push_back(notice_);
    }
    return scripted_answer::of(status, body, headers);
}

} // namespace mangolink::test
