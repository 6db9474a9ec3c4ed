#include "soak/soak_checks.hpp"

#include "soak/soak_cluster.hpp"
#include "soak/soak_faults.hpp"
#include "support/busiest_window.hpp"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <map>
#include <optional>

namespace mangolink::test
{
namespace
{

/// Requests sent with a revoked key after this time must not run. Equals
/// keys.revocation_limit_ms of the gateways.
constexpr milliseconds revocation_limit{3000};

/// After this number of crashes under a part, and the time in which gateways
/// learn what others know, at most so many requests with it are sent.
constexpr std::size_t crashes_before_limit = 5;
constexpr milliseconds contact_time{4000};
constexpr std::size_t max_late_sends = 3;

/// Time after which an evacuated zone gets no requests.
constexpr milliseconds evacuation_limit{5000};

/// In this time a server that names a rate limit gets at most one and a half
/// times as many requests as it allows, and some more.
constexpr milliseconds limit_window{4000};
constexpr double limit_factor = 1.5;
constexpr double limit_slack = 5;

/// Executions of one request at the backend servers.
struct request_runs final
{
    std::vector<std::pair<std::string, received_request>>
        runs; ///< server, request
};

std::map<std::string, request_runs> runs_by_id(const soak_cluster& cluster)
{
    std::map<std::string, request_runs> result;
    for (const auto* server : cluster.servers())
    {
        for (const auto& request : server->received())
        {
            if (request.ran)
            {
                result[request.id].runs.emplace_back(server->id(), request);
            }
        }
    }
    return result;
}

std::map<std::string, std::size_t>
gateways_by_request(const std::vector<soak_record>& all)
{
    std::map<std::string, std::size_t> result;
    for (const auto& record : all)
    {
        result[record.id] = record.gateway;
    }
    return result;
}

std::string all_events()
{
    std::string text;
    for (unsigned number = 1; number <= stream_events; ++number)
    {
        text += event_text(number);
    }
    return text;
}

bool is_stream(soak_kind kind)
{
    return kind == soak_kind::resumable_stream ||
           kind == soak_kind::plain_stream;
}

bool may_repeat(soak_kind kind)
{
    return kind != soak_kind::non_idempotent && kind != soak_kind::plain_stream;
}

std::optional<std::string> check_answer(const soak_record& record,
                                        const request_runs& received)
{
    const bool refused = record.status == 503 || record.status == 429 ||
                         record.status == 408 || record.status == 421;
    if (refused && record.signer.empty() && !received.runs.empty())
    {
        return "refused as not run, but ran";
    }
    if (refused && record.signer.empty() && !record.has_retry_after)
    {
        return "refused without Retry-After";
    }
    if (is_stream(record.kind) && record.status == 200 &&
        record.body == all_events())
    {
        return std::nullopt;
    }
    if (record.status == 0)
    {
        // A prefix of a stream, or of the plain answer that an engine with a
        // fault gives.
        const bool is_prefix =
            all_events().starts_with(record.body) ||
            std::any_of(received.runs.begin(), received.runs.end(),
                        [&](const auto& run) {
                            return answer_body(run.first, record.id)
                                .starts_with(record.body);
                        });
        return is_prefix ? std::nullopt
                         : std::optional("received part of another answer: " +
                                         record.body);
    }
    if (record.status != 200)
    {
        return std::nullopt;
    }
    const bool signer_ran = std::any_of(
        received.runs.begin(), received.runs.end(),
        [&](const auto& run) { return run.first == record.signer; });
    if (!signer_ran || record.body != answer_body(record.signer, record.id))
    {
        return "success differs from the answer of the server";
    }
    return std::nullopt;
}

std::optional<std::string> check_inputs(const soak_record& record,
                                        const received_request& run)
{
    if (record.kind != soak_kind::with_stages)
    {
        return std::nullopt;
    }
    const auto found = run.headers.find("x-input-count");
    if (found == run.headers.end())
    {
        return "ran without its stage results";
    }
    std::vector<std::string> handles = absl::StrSplit(found->second, ',');
    std::sort(handles.begin(), handles.end());
    const bool all_own =
        std::all_of(handles.begin(), handles.end(),
                    [&](const std::string& handle)
                    { return handle.ends_with("-" + record.id); });
    const bool all_distinct =
        std::adjacent_find(handles.begin(), handles.end()) == handles.end();
    return all_own && all_distinct && handles.size() == second_stage_items
               ? std::nullopt
               : std::optional("ran with wrong stage results");
}

std::optional<std::string> check_runs(
    const soak_record& record, const request_runs& received,
    const std::map<std::string, boot_clock::time_point>& revocation_times)
{
    if (received.runs.size() > 1 && !may_repeat(record.kind))
    {
        return "ran more than once";
    }
    const auto revoked = revocation_times.find(record.key);
    if (!received.runs.empty() && revoked != revocation_times.end() &&
        record.sent > revoked->second + revocation_limit)
    {
        return "ran with a revoked key";
    }
    for (const auto& [server, run] : received.runs)
    {
        if (run.body != "body of " + record.id ||
            run.target != std::string(path_of(record.kind)) + "x")
        {
            return "was altered in transit";
        }
        if (auto violation = check_inputs(record, run))
        {
            return violation;
        }
    }
    return std::nullopt;
}

std::vector<std::string>
check_stage_items(const soak_cluster& cluster,
                  const std::map<std::string, bool>& sent_ids)
{
    std::vector<std::string> violations;
    for (const auto* server : cluster.stage_servers())
    {
        for (const auto& item : server->received())
        {
            const bool wrong_key =
                item.inputs.empty() && item.key != "key-" + item.request;
            const bool foreign_input =
                std::any_of(item.inputs.begin(), item.inputs.end(),
                            [&](const std::string& handle)
                            { return !handle.ends_with("-" + item.request); });
            const bool partial_inputs =
                !item.inputs.empty() && item.inputs.size() != first_stage_items;
            if (!sent_ids.contains(item.request) || wrong_key ||
                foreign_input || partial_inputs)
            {
                violations.push_back(item.request + ": item at " +
                                     server->id() +
                                     " differs from the request");
            }
        }
    }
    return violations;
}

} // namespace

std::vector<std::string> find_violations(const soak_cluster& cluster,
                                         const std::vector<soak_record>& all)
{
    std::vector<std::string> violations;
    const auto runs = runs_by_id(cluster);
    const auto revocation_times = cluster.revocation_times();
    std::map<std::string, bool> sent_ids;
    for (const auto& record : all)
    {
        sent_ids[record.id] = true;
        const auto found = runs.find(record.id);
        const request_runs received =
            found == runs.end() ? request_runs() : found->second;
        for (const auto& violation :
             {check_answer(record, received),
              check_runs(record, received, revocation_times)})
        {
            if (violation)
            {
                violations.push_back(
                    record.id + " (" + path_of(record.kind) + ", status " +
                    std::to_string(record.status) + "): " + *violation);
            }
        }
    }
    for (const auto& [id, received] : runs)
    {
        if (!sent_ids.contains(id))
        {
            violations.push_back(id + ": ran, but no caller sent it");
        }
    }
    const auto item_violations = check_stage_items(cluster, sent_ids);
    violations.insert(violations.end(), item_violations.begin(),
                      item_violations.end());
    return violations;
}

std::vector<std::string>
find_wrong_refusals(const std::vector<soak_record>& all)
{
    std::vector<std::string> violations;
    for (const auto& record : all)
    {
        if (record.quarantined && record.part != deadly_part)
        {
            violations.push_back(record.id + ": refused for a sound part");
        }
    }
    return violations;
}

std::vector<std::string> find_late_sends(const soak_cluster& cluster,
                                         const soak_faults& faults,
                                         const std::vector<soak_record>& all)
{
    auto gateway_of = gateways_by_request(all);
    std::vector<boot_clock::time_point> crashes;
    for (const auto* server : cluster.servers())
    {
        const auto own = server->part_crash_times();
        crashes.insert(crashes.end(), own.begin(), own.end());
    }
    if (crashes.size() < crashes_before_limit)
    {
        return {};
    }
    std::sort(crashes.begin(), crashes.end());
    const auto limit = crashes[crashes_before_limit - 1] + contact_time;
    std::vector<std::string> late;
    for (const auto* server : cluster.servers())
    {
        for (const auto& request : server->received_with_part(deadly_part))
        {
            if (request.at > limit &&
                faults.in_touch(gateway_of[request.id], request.at))
            {
                late.push_back(request.id);
            }
        }
    }
    if (late.size() <= max_late_sends)
    {
        return {};
    }
    return {std::to_string(late.size()) +
            " requests with a part that crashes servers were sent too late, "
            "the last one " +
            late.back()};
}

std::vector<std::string>
find_exceeded_limits(const soak_cluster& cluster, const soak_faults& faults,
                     const std::vector<soak_record>& all)
{
    auto gateway_of = gateways_by_request(all);
    std::vector<std::string> violations;
    for (const auto& period : faults.limits())
    {
        const auto* server = cluster.servers()[period.server];
        auto end = period.end;
        for (const auto crash : server->crash_times())
        {
            // Another start has not named the limit before.
            end = crash >= period.begin ? std::min(end, crash) : end;
        }
        std::vector<boot_clock::time_point> times;
        for (const auto& request : server->received())
        {
            if (request.at >= period.begin + contact_time && request.at < end &&
                faults.in_touch(gateway_of[request.id], request.at))
            {
                times.push_back(request.at);
            }
        }
        const double allowed =
            limit_factor * period.per_second *
                std::chrono::duration<double>(limit_window).count() +
            limit_slack;
        const auto most = busiest_window(times, limit_window);
        if (static_cast<double>(most) > allowed)
        {
            violations.push_back(server->id() + ": got " +
                                 std::to_string(most) +
                                 " requests in a window where " +
                                 std::to_string(allowed) + " were allowed");
        }
    }
    return violations;
}

std::vector<std::string>
find_misplaced_runs(const soak_cluster& cluster, const soak_faults& faults,
                    const std::vector<soak_record>& all)
{
    std::map<std::string, const soak_record*> by_id;
    for (const auto& record : all)
    {
        by_id[record.id] = &record;
    }
    std::vector<std::string> violations;
    for (const auto* server : cluster.servers())
    {
        for (const auto& request : server->received())
        {
            const auto found = by_id.find(request.id);
            if (!cluster.in_second_zone(server->id()) || found == by_id.end())
            {
                continue;
            }
            const auto& record = *found->second;
            if (record.kind == soak_kind::plain_stream)
            {
                violations.push_back(record.id + ": left its region");
            }
            for (const auto& period : faults.evacuations())
            {
                if (request.at > period.begin + evacuation_limit &&
                    request.at < period.end &&
                    faults.store_in_touch(period.begin, request.at) &&
                    faults.in_touch(record.gateway, request.at))
                {
                    violations.push_back(record.id + ": reached " +
                                         server->id() +
                                         " after its zone was evacuated");
                }
            }
        }
    }
    return violations;
}

std::vector<std::string> find_overheated(const soak_cluster& cluster,
                                         const soak_faults& faults)
{
    constexpr milliseconds window{1000};
    constexpr double allowed = 1.5 * cold_rate + 5;
    std::vector<std::string> violations;
    for (const auto& period : faults.cold_times())
    {
        const auto* server = *std::find_if(
            cluster.servers().begin(), cluster.servers().end(),
            [&](const auto* each) { return each->id() == period.name; });
        const auto known = period.begin + contact_time;
        const auto crashes = server->crash_times();
        const bool restarted = std::any_of(
            crashes.begin(), crashes.end(),
            [&](auto at) { return at >= period.begin && at < period.end; });
        if (restarted || !faults.store_in_touch(period.begin, period.end))
        {
            continue;
        }
        std::vector<boot_clock::time_point> times;
        for (const auto& request : server->received())
        {
            if (request.at >= known && request.at < period.end)
            {
                times.push_back(request.at);
            }
        }
        const auto most = busiest_window(times, window);
        if (static_cast<double>(most) > allowed)
        {
            violations.push_back(server->id() + ": cold, got " +
                                 std::to_string(most) +
                                 " requests in a second");
        }
    }
    return violations;
}

std::vector<std::string>
find_unrecovered_gateways(soak_cluster& cluster, std::vector<soak_record>& all)
{
    std::vector<std::string> failed;
    for (std::size_t index = 0; index < cluster.gateways(); ++index)
    {
        unsigned number = 0;
        const bool serves = bench::wait_until(
            [&]
            {
                soak_record record;
                record.id = "after-" + std::to_string(index) + "-" +
                            std::to_string(number++);
                record.key = test_key;
                try
                {
                    test_caller caller(cluster.gateway(index).callers());
                    record.sent = boot_clock::now();
                    const auto answer = caller.send_request(request_of(record));
                    record.set_answer(answer, caller.partial_body());
                    all.push_back(record);
                    return record.status == 200;
                }
                catch (const boost::system::system_error&)
                {
                    return false; // not listening yet
                }
            });
        if (!serves)
        {
            failed.push_back("gateway " + std::to_string(index + 1) +
                             " does not serve after all faults ended");
        }
    }
    return failed;
}

} // namespace mangolink::test
