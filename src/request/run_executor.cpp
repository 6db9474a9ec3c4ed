#include "request/run_executor.hpp"

#include "process/member_table.hpp"
#include "request/attempt_message.hpp"
#include "request/backend_selector.hpp"
#include "request/customer_limiter.hpp"
#include "request/retry_budget.hpp"
#include "request/run_actions.hpp"
#include "request/service_estimator.hpp"
#include "request/stage_codec.hpp"
#include "wire/mangolink.pb.h"

#include <algorithm>
#include <array>
#include <vector>

namespace mangolink
{
namespace
{

/// Refusals that are specific to one backend server, so that another one may
/// accept the request.
constexpr std::array retryable_refusals{
    result_code::queue_full,        result_code::leaving,
    result_code::stale_incarnation, result_code::server_unreachable,
    result_code::not_ready,         result_code::deadline_unreachable};

bool retryable(result_code code)
{
    return std::find(retryable_refusals.begin(), retryable_refusals.end(),
                     code) != retryable_refusals.end();
}

} // namespace

run_executor::run_executor(run_executor_settings settings,
                           run_executor_dependencies dependencies)
    : settings_(settings), dependencies_(dependencies),
      planner_(dependencies.estimator, dependencies.selector)
{
}

run_executor::~run_executor() = default;

void run_executor::start(run_request request, boot_clock::time_point now)
{
    const request_id id = request.id;
    auto owned = std::make_unique<pipeline_run>(std::move(request));
    pipeline_run& run = *owned;
    deadlines_.emplace(run.request.deadline, id);
    runs_.emplace(id, std::move(owned));
    const time_verdict admitted = admit(run, now);
    if (admitted.code != result_code::complete)
    {
        end(run, admitted);
        return;
    }
    begin_stage(run, now);
}

void run_executor::on_chunk(member_id from, incarnation sender,
                            wire::chunk& message)
{
    const found_attempt found = find(from, sender, message.ref());
    if (found.run == nullptr || found.attempt->state != attempt_state::pending)
    {
        return;
    }
    pipeline_run& run = *found.run;
    const std::string text = found.attempt->assembler.add(
        message.sequence(), std::move(*message.mutable_data()));
    if (text.empty())
    {
        return;
    }
    if (run.request.streamed && run.last_stage())
    {
        run.delivered_bytes += text.size();
        dependencies_.actions.deliver(run.request.id, text);
        return;
    }
    run.request.context.answer += text;
}

void run_executor::on_finished(member_id from, incarnation sender,
                               wire::finished& message,
                               boot_clock::time_point now)
{
    const found_attempt found = find(from, sender, message.ref());
    if (found.run == nullptr || found.attempt->state != attempt_state::pending)
    {
        return;
    }
    set_state(*found.attempt, attempt_state::ended);
    stage_answered(*found.run, *found.attempt, message, now);
}

void run_executor::on_refused(member_id from, incarnation sender,
                              const wire::refused& message,
                              boot_clock::time_point now)
{
    const found_attempt found = find(from, sender, message.ref());
    if (found.run == nullptr || found.attempt->state != attempt_state::pending)
    {
        return;
    }
    set_state(*found.attempt, attempt_state::refused);
    const auto code = result_code_from_wire(message.code());
    if (code == result_code::server_unreachable)
    {
        dependencies_.members.failed(from, now);
    }
    if (retryable(code))
    {
        retry_or_end(*found.run, code, true, now);
        return;
    }
    end(*found.run, {code, from_wire(message.retry_after_us())});
}

void run_executor::on_member_lost(member_id lost_member,
                                  boot_clock::time_point now)
{
    std::vector<request_id> affected;
    for (const auto& [id, run] : runs_)
    {
        for (auto& attempt : run->attempts)
        {
            if (attempt.receiver == lost_member &&
                attempt.state == attempt_state::pending)
            {
                affected.push_back(id);
                break;
            }
        }
    }
    for (const auto& id : affected)
    {
        pipeline_run& run = *runs_.at(id);
        for (auto& attempt : run.attempts)
        {
            if (attempt.receiver == lost_member &&
                attempt.state == attempt_state::pending)
            {
                set_state(attempt, attempt_state::lost);
            }
        }
        retry_or_end(run, result_code::no_answer, false, now);
    }
}

void run_executor::on_caller_gone(const request_id& id, boot_clock::time_point)
{
    const auto found = runs_.find(id);
    if (found != runs_.end())
    {
        end(*found->second, {result_code::caller_gone});
    }
}

void run_executor::on_time(boot_clock::time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        pipeline_run& run = *runs_.at(deadlines_.begin()->second);
        switch (run.proven_outcome())
        {
        case outcome::not_run:
            end(run, {result_code::deadline_passed});
            break;
        case outcome::failed:
            end(run, {result_code::deadline_passed_running});
            break;
        default:
            end(run, {result_code::no_answer});
            break;
        }
    }
}

boot_clock::time_point run_executor::next_deadline() const
{
    return deadlines_.empty() ? boot_clock::time_point::max()
                              : deadlines_.begin()->first;
}

time_verdict run_executor::admit(const pipeline_run& run,
                                 boot_clock::time_point now)
{
    if (runs_.size() > settings_.max_runs)
    {
        return {result_code::entry_overloaded, seconds(1)};
    }
    const microseconds wait = dependencies_.limiter.try_acquire(
        *run.request.requesting_customer, now);
    if (wait > microseconds(0))
    {
        return {result_code::customer_over_limit, wait};
    }
    if (!settings_.admission)
    {
        return {};
    }
    return planner_.check(run, now);
}

void run_executor::begin_stage(pipeline_run& run, boot_clock::time_point now)
{
    run.stage_started = now;
    stage_report report;
    report.stage = run.current_stage().name;
    run.reports.push_back(std::move(report));
    dispatch(run, now);
}

void run_executor::dispatch(pipeline_run& run, boot_clock::time_point now)
{
    const microseconds budget = planner_.stage_budget(run, now);
    if (budget <= microseconds(0))
    {
        end(run, {result_code::deadline_unreachable});
        return;
    }
    member_id chosen{};
    const time_verdict choice = choose_member(run, now, chosen);
    if (choice.code != result_code::complete)
    {
        end(run, choice);
        return;
    }
    send_attempt(run, chosen, budget, now);
}

time_verdict run_executor::choose_member(const pipeline_run& run,
                                         boot_clock::time_point now,
                                         member_id& chosen)
{
    const pipeline_stage& stage = run.current_stage();
    if (run.request.key && !stage.idempotent)
    {
        const member* owner =
            dependencies_.members.find_by_name(run.request.key->server);
        if (owner == nullptr || !dependencies_.members.usable(*owner, now) ||
            !(owner->known_incarnation == run.request.key->owner))
        {
            return {result_code::key_owner_gone};
        }
        chosen = owner->id;
        return {};
    }
    const auto best = dependencies_.selector.select(
        stage.pool, run.members_tried(), planner_.expected_work(run, run.stage),
        now);
    if (!best)
    {
        return {result_code::no_server, seconds(1)};
    }
    chosen = best->id;
    return {};
}

void run_executor::send_attempt(pipeline_run& run, member_id receiver,
                                microseconds budget, boot_clock::time_point now)
{
    const member& target = *dependencies_.members.find(receiver);
    const microseconds work = planner_.expected_work(run, run.stage);

    stage_attempt attempt;
    attempt.receiver = receiver;
    attempt.target_incarnation = target.known_incarnation;
    attempt.stage = run.stage;
    attempt.number = run.attempts_of_stage();

    wire::envelope message;
    write_submit(run, attempt, budget, work, message);

    stage_report& report = run.reports.back();
    report.server = target.name;
    report.zone = target.zone;
    ++report.attempts;
    if (target.where == distance::other_region)
    {
        report.cross_region_bytes += message.ByteSizeLong();
    }
    const bool handed_over = dependencies_.actions.send(receiver, message);
    run.attempts.push_back(std::move(attempt));
    if (!handed_over)
    {
        run.attempts.back().state = attempt_state::refused;
        dependencies_.members.failed(receiver, now);
        retry_or_end(run, result_code::server_unreachable, true, now);
        return;
    }
    dependencies_.members.sent(receiver, work);
}

void run_executor::retry_or_end(pipeline_run& run, result_code code,
                                bool proven_not_run, boot_clock::time_point now)
{
    if (may_retry(run, proven_not_run))
    {
        run.request.context.answer.clear();
        dispatch(run, now);
        return;
    }
    end(run,
        {code, proven_not_run ? microseconds(seconds(1)) : microseconds(0)});
}

bool run_executor::may_retry(const pipeline_run& run, bool proven_not_run)
{
    const bool safe_to_repeat =
        proven_not_run || run.current_stage().idempotent;
    return safe_to_repeat && run.delivered_bytes == 0 &&
           run.attempts_of_stage() < settings_.max_attempts &&
           dependencies_.retries.try_acquire();
}

void run_executor::stage_answered(pipeline_run& run, stage_attempt& attempt,
                                  wire::finished& message,
                                  boot_clock::time_point now)
{
    const member_id receiver = attempt.receiver;
    stage_report& report = run.reports.back();
    report.elapsed =
        std::chrono::duration_cast<microseconds>(now - run.stage_started);
    report.queued = from_wire(message.queue_us());
    report.service = from_wire(message.service_us());
    report.prompt_tokens += message.prompt_tokens();
    report.cached_tokens += message.cached_tokens();
    report.generated_tokens += message.generated_tokens();
    const member* responder = dependencies_.members.find(receiver);
    if (responder != nullptr && responder->where == distance::other_region)
    {
        report.cross_region_bytes +=
            message.ByteSizeLong() + run.delivered_bytes;
    }
    const auto code = result_code_from_wire(message.code());
    if (code == result_code::key_in_progress ||
        code == result_code::key_owner_gone)
    {
        end(run, {code, seconds(1)});
        return;
    }
    if (code != result_code::complete)
    {
        dependencies_.members.failed(receiver, now);
        retry_or_end(run, code, false, now);
        return;
    }
    const stage_codec& codec = codec_of(run.current_stage().kind);
    if (codec.streamed)
    {
        attempt.assembler.mark_end(message.chunks(), message.digest());
        if (!attempt.assembler.intact())
        {
            retry_or_end(run, result_code::stream_broken, false, now);
            return;
        }
    }
    else if (!codec.parse_answer(run.request.context, message.body()))
    {
        retry_or_end(run, result_code::bad_answer, false, now);
        return;
    }
    dependencies_.members.succeeded(receiver);
    dependencies_.retries.succeeded();
    const double units = codec.work_units(run.request.context);
    dependencies_.estimator.add(run.current_stage().estimate_key,
                                std::chrono::duration_cast<microseconds>(
                                    report.service / std::max(units, 1.0)));
    complete_stage(run, now);
}

void run_executor::complete_stage(pipeline_run& run, boot_clock::time_point now)
{
    if (run.last_stage())
    {
        end(run, {result_code::complete});
        return;
    }
    ++run.stage;
    run.request.context.answer.clear();
    begin_stage(run, now);
}

void run_executor::end(pipeline_run& run, time_verdict verdict)
{
    run_result result;
    result.code = verdict.code;
    result.retry_after = verdict.retry_after;
    const bool outcome_unknown = verdict.code == result_code::key_in_progress ||
                                 verdict.code == result_code::key_owner_gone;
    result.end = verdict.code == result_code::complete ? outcome::complete
                 : outcome_unknown                     ? outcome::unknown
                                                       : run.proven_outcome();
    if (result.end == outcome::unknown && !outcome_unknown)
    {
        result.code = result_code::no_answer;
    }
    if (result.end == outcome::complete && run.delivered_bytes == 0)
    {
        result.answer = std::move(run.request.context.answer);
    }
    result.stages = std::move(run.reports);
    cancel_pending(run);
    const request_id id = run.request.id;
    deadlines_.erase({run.request.deadline, id});
    const auto keep_alive = std::move(runs_.at(id));
    runs_.erase(id);
    dependencies_.actions.finish(id, std::move(result));
}

void run_executor::cancel_pending(pipeline_run& run)
{
    for (auto& attempt : run.attempts)
    {
        if (attempt.state != attempt_state::pending)
        {
            continue;
        }
        wire::envelope message;
        write_cancel(run, attempt, message);
        dependencies_.actions.send(attempt.receiver, message);
        set_state(attempt, attempt_state::lost);
    }
}

void run_executor::set_state(stage_attempt& attempt, attempt_state state)
{
    attempt.state = state;
    dependencies_.members.ended(attempt.receiver);
}

run_executor::found_attempt run_executor::find(member_id from,
                                               incarnation sender,
                                               const wire::attempt_ref& ref)
{
    const auto id = request_id::from_bytes(ref.request_id());
    if (!id)
    {
        return {};
    }
    const auto found = runs_.find(*id);
    if (found == runs_.end())
    {
        return {};
    }
    stage_attempt* attempt =
        found->second->find_attempt(ref.stage(), ref.attempt());
    if (attempt == nullptr || attempt->receiver != from ||
        !(attempt->target_incarnation == sender))
    {
        return {};
    }
    return {found->second.get(), attempt};
}

} // namespace mangolink
