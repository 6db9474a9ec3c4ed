#include "connection/admin_responses.hpp"
#include "connection/common_admin_routes.hpp"
#include "connection/entry_server.hpp"
#include "connection/http_exchange.hpp"

#include <nlohmann/json.hpp>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr const char* state_names[] = {"starting", "ready", "leaving"};
constexpr const char* distance_names[] = {"same_zone", "same_region",
                                          "other_region"};

json member_json(const member& agent, const member_table& members,
                 boot_clock::time_point now)
{
    const auto since_last_message =
        std::chrono::duration_cast<milliseconds>(now - agent.last_heard);
    return {{"server", agent.name},
            {"agent", agent.address},
            {"zone", agent.zone},
            {"region", agent.region},
            {"distance", distance_names[static_cast<int>(agent.where)]},
            {"state", state_names[static_cast<int>(agent.state)]},
            {"usable", members.usable(agent, now)},
            {"incarnation", agent.known_incarnation.text()},
            {"heard_ms_ago",
             agent.known_incarnation.known() ? since_last_message.count() : -1},
            {"running", agent.load.running},
            {"queued", agent.load.queued},
            {"limit", agent.load.limit},
            {"outstanding", agent.outstanding}};
}

} // namespace

std::vector<admin_route> entry_server::admin_routes()
{
    using exchange_pointer = std::shared_ptr<http_exchange>;
    auto routes = common_admin_routes({commands_, store_, audit_trail_,
                                       metrics_, [this] { begin_drain(); },
                                       [this] { return status_response(); }});
    const auto add =
        [&](std::string path, http_response (entry_server::*make)())
    {
        routes.push_back({"GET", std::move(path),
                          [this, make](const exchange_pointer& exchange)
                          {
                              respond_on_loop(commands_, exchange,
                                              [this, make]
                                              { return (this->*make)(); });
                          }});
    };
    add("/v1/members", &entry_server::members_response);
    add("/v1/customers", &entry_server::customers_response);
    routes.push_back(
        {"GET", "/v1/explain",
         [this](const exchange_pointer& exchange)
         {
             const std::string name(exchange->request().argument("pipeline"));
             respond_on_loop(commands_, exchange,
                             [this, name] { return explain_response(name); });
         }});
    return routes;
}

http_response entry_server::status_response()
{
    const auto position = store_.position();
    std::size_t usable = 0;
    const auto now = boot_clock::now();
    const auto all = core_.members().all();
    for (const member_id id : all)
    {
        usable +=
            core_.members().usable(*core_.members().find(id), now) ? 1 : 0;
    }
    return json_response({{"role", "entry"},
                          {"instance", settings_.instance.name},
                          {"zone", settings_.instance.zone},
                          {"region", settings_.instance.region},
                          {"incarnation", incarnation_.text()},
                          {"configuration_number", position.number},
                          {"configuration_digest", position.digest},
                          {"requests_in_flight", core_.requests()},
                          {"members", all.size()},
                          {"usable_members", usable},
                          {"draining", draining_.load()}});
}

http_response entry_server::members_response()
{
    json members = json::array();
    const auto now = boot_clock::now();
    for (const member_id id : core_.members().all())
    {
        members.push_back(
            member_json(*core_.members().find(id), core_.members(), now));
    }
    return json_response({{"members", members}});
}

http_response entry_server::customers_response()
{
    json customers = json::array();
    if (const auto version = store_.current())
    {
        for (const auto& customer : version->customers())
        {
            customers.push_back(
                {{"customer", customer.name},
                 {"share", customer.share},
                 {"requests_per_second", customer.requests_per_second},
                 {"burst", customer.burst}});
        }
    }
    return json_response({{"customers", customers}});
}

http_response entry_server::explain_response(const std::string& pipeline_name)
{
    const auto version = store_.current();
    const pipeline* selected_pipeline =
        version ? version->find_pipeline(pipeline_name) : nullptr;
    if (selected_pipeline == nullptr)
    {
        return result_code_response(result_code::unknown_pipeline,
                                    pipeline_name);
    }
    json stages = json::array();
    const auto now = boot_clock::now();
    for (const auto& stage : selected_pipeline->stages)
    {
        json candidates = json::array();
        for (const auto& scored :
             core_.selector().explain(stage.pool, microseconds(0), now))
        {
            const member& candidate = *core_.members().find(scored.id);
            candidates.push_back(
                {{"server", candidate.name},
                 {"zone", candidate.zone},
                 {"score_us", scored.score.count()},
                 {"expected_wait_us", scored.wait.count()},
                 {"service_time_us", candidate.load.service_time.count()},
                 {"slowdown", candidate.load.slowdown},
                 {"occupancy", candidate.occupancy()}});
        }
        stages.push_back({{"stage", stage.name},
                          {"pool", version->pools()[stage.pool].name},
                          {"idempotent", stage.idempotent},
                          {"policy", settings_.core.selector.policy},
                          {"candidates", candidates}});
    }
    return json_response({{"pipeline", pipeline_name}, {"stages", stages}});
}

} // namespace mangolink
