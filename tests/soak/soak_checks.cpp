#include "soak/soak_checks.hpp"

#include "soak/soak_site.hpp"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <map>
#include <optional>

namespace mangolink::test
{
namespace
{

/// Time after which no request with a key that was taken away may run; the
/// gateways' setting.
constexpr milliseconds revocation_limit{3000};

/// What servers saw of one request.
struct request_runs final
{
    std::vector<std::pair<std::string, seen_request>> runs; ///< server, request
};

std::map<std::string, request_runs> runs_by_id(const soak_site& site)
{
    std::map<std::string, request_runs> result;
    for (const auto* server : site.servers())
    {
        for (const auto& row : server->seen())
        {
            if (row.ran)
            {
                result[row.id].runs.emplace_back(server->id(), row);
            }
        }
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
    return kind == soak_kind::talk || kind == soak_kind::once;
}

bool may_repeat(soak_kind kind)
{
    return kind != soak_kind::order && kind != soak_kind::once;
}

std::optional<std::string> check_answer(const soak_record& record,
                                        const request_runs& seen)
{
    const bool refused = record.status == 503 || record.status == 429 ||
                         record.status == 408 || record.status == 421;
    if (refused && record.signer.empty() && !seen.runs.empty())
    {
        return "refused as not run, but ran";
    }
    if (refused && record.signer.empty() && !record.come_back)
    {
        return "refused without a time to return";
    }
    if (is_stream(record.kind) && record.status == 200 &&
        record.body == all_events())
    {
        return std::nullopt;
    }
    if (record.status == 0)
    {
        // Part of a stream, or of a plain answer, which faulty engines give.
        const bool fits =
            all_events().starts_with(record.body) ||
            std::any_of(seen.runs.begin(), seen.runs.end(),
                        [&](const auto& run) {
                            return answer_body(run.first, record.id)
                                .starts_with(record.body);
                        });
        return fits ? std::nullopt
                    : std::optional("part of an answer is not its own: " +
                                    record.body);
    }
    if (record.status != 200)
    {
        return std::nullopt;
    }
    const bool signer_ran = std::any_of(seen.runs.begin(), seen.runs.end(),
                                        [&](const auto& run)
                                        { return run.first == record.signer; });
    if (!signer_ran || record.body != answer_body(record.signer, record.id))
    {
        return "success is not the server's answer";
    }
    return std::nullopt;
}

std::optional<std::string> check_inputs(const soak_record& record,
                                        const seen_request& run)
{
    if (record.kind != soak_kind::with_stages)
    {
        return std::nullopt;
    }
    const auto found = run.headers.find("x-input-count");
    if (found == run.headers.end())
    {
        return "ran without the results of its stages";
    }
    std::vector<std::string> handles = absl::StrSplit(found->second, ',');
    std::sort(handles.begin(), handles.end());
    const bool own = std::all_of(handles.begin(), handles.end(),
                                 [&](const std::string& row)
                                 { return row.ends_with("-" + record.id); });
    const bool once =
        std::adjacent_find(handles.begin(), handles.end()) == handles.end();
    return own && once && handles.size() == second_pieces
               ? std::nullopt
               : std::optional("ran with wrong results of its stages");
}

std::optional<std::string>
check_runs(const soak_record& record, const request_runs& seen,
           const std::map<std::string, boot_clock::time_point>& taken_away)
{
    if (seen.runs.size() > 1 && !may_repeat(record.kind))
    {
        return "ran more than once";
    }
    const auto away = taken_away.find(record.key);
    if (!seen.runs.empty() && away != taken_away.end() &&
        record.sent > away->second + revocation_limit)
    {
        return "ran with a key that was taken away";
    }
    for (const auto& [server, run] : seen.runs)
    {
        if (run.body != "body of " + record.id ||
            run.target != std::string(path_of(record.kind)) + "x")
        {
            return "was altered on its way";
        }
        if (auto wrong = check_inputs(record, run))
        {
            return wrong;
        }
    }
    return std::nullopt;
}

std::vector<std::string> check_pieces(const soak_site& site,
                                      const std::map<std::string, bool>& asked)
{
    std::vector<std::string> broken;
    for (const auto* pool : site.pools())
    {
        for (const auto& piece : pool->seen())
        {
            const bool wrong_key =
                piece.inputs.empty() && piece.key != "key-" + piece.request;
            const bool foreign =
                std::any_of(piece.inputs.begin(), piece.inputs.end(),
                            [&](const std::string& row)
                            { return !row.ends_with("-" + piece.request); });
            const bool some =
                !piece.inputs.empty() && piece.inputs.size() != first_pieces;
            if (!asked.contains(piece.request) || wrong_key || foreign || some)
            {
                broken.push_back(piece.request + ": piece at " + pool->id() +
                                 " is not as asked");
            }
        }
    }
    return broken;
}

} // namespace

std::vector<std::string> broken_promises(const soak_site& site,
                                         const std::vector<soak_record>& all)
{
    std::vector<std::string> broken;
    const auto runs = runs_by_id(site);
    const auto taken_away = site.taken_away();
    std::map<std::string, bool> asked;
    for (const auto& record : all)
    {
        asked[record.id] = true;
        const auto found = runs.find(record.id);
        const request_runs seen =
            found == runs.end() ? request_runs() : found->second;
        for (const auto& wrong :
             {check_answer(record, seen), check_runs(record, seen, taken_away)})
        {
            if (wrong)
            {
                broken.push_back(record.id + " (" + path_of(record.kind) +
                                 ", status " + std::to_string(record.status) +
                                 "): " + *wrong);
            }
        }
    }
    for (const auto& [id, seen] : runs)
    {
        if (!asked.contains(id))
        {
            broken.push_back(id + ": ran, but nobody asked");
        }
    }
    const auto pieces = check_pieces(site, asked);
    broken.insert(broken.end(), pieces.begin(), pieces.end());
    return broken;
}

std::vector<std::string> not_recovered(soak_site& site,
                                       std::vector<soak_record>& all)
{
    std::vector<std::string> failed;
    for (std::size_t index = 0; index < site.gateways(); ++index)
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
                    test_caller caller(site.gateway(index).callers());
                    record.sent = boot_clock::now();
                    const auto answer = caller.ask(request_of(record));
                    record.take(answer, caller.partial_body());
                    all.push_back(record);
                    return record.status == 200;
                }
                catch (const boost::system::system_error&)
                {
                    return false; // does not listen yet
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
