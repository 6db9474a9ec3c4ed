#include "connection/prompt_message.hpp"

#include "gateway.pb.h"

#include <algorithm>
#include <cmath>

namespace mangolink
{
namespace
{

constexpr double milliseconds_per_second = 1000;

std::uint32_t age_ms(boot_clock::time_point at, boot_clock::time_point now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - at);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()));
}

} // namespace

void write_suspicion(const prompt_suspicion& suspicion,
                     boot_clock::time_point now,
                     wire::prompt_suspicion& message)
{
    message.set_part(suspicion.part);
    for (const auto& crash : suspicion.crashes)
    {
        auto& written = *message.add_crashes();
        written.set_server_start(crash.server_start);
        written.set_request(crash.request);
        written.set_age_ms(age_ms(crash.at, now));
        written.set_amid_answer(crash.phase == crash_phase::amid_answer);
        written.set_after_ms(static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, crash.after.count())));
    }
    if (suspicion.cleared.output)
    {
        message.set_cleared_ms_ago(age_ms(*suspicion.cleared.output, now));
    }
    if (suspicion.cleared.completion)
    {
        message.set_completed_ms_ago(
            age_ms(*suspicion.cleared.completion, now));
    }
    if (suspicion.last_request)
    {
        message.set_request_ms_ago(age_ms(*suspicion.last_request, now));
    }
}

prompt_suspicion read_suspicion(const wire::prompt_suspicion& message,
                                boot_clock::time_point now)
{
    prompt_suspicion suspicion;
    suspicion.part = message.part();
    for (const auto& crash : message.crashes())
    {
        suspicion.crashes.push_back({crash.server_start(), crash.request(),
                                     now - milliseconds(crash.age_ms()),
                                     crash.amid_answer()
                                         ? crash_phase::amid_answer
                                         : crash_phase::before_output,
                                     milliseconds(crash.after_ms())});
    }
    if (message.has_cleared_ms_ago())
    {
        suspicion.cleared.output = now - milliseconds(message.cleared_ms_ago());
    }
    if (message.has_completed_ms_ago())
    {
        suspicion.cleared.completion =
            now - milliseconds(message.completed_ms_ago());
    }
    if (message.has_request_ms_ago())
    {
        suspicion.last_request = now - milliseconds(message.request_ms_ago());
    }
    return suspicion;
}

void write_outcomes(const prompt_outcomes& outcomes, boot_clock::time_point now,
                    wire::gateway_heartbeat& heartbeat)
{
    heartbeat.set_recent_outputs(
        static_cast<std::uint32_t>(std::lround(outcomes.outputs)));
    heartbeat.set_recent_crashes(
        static_cast<std::uint32_t>(std::lround(outcomes.crashes)));
    heartbeat.set_recent_completions(
        static_cast<std::uint32_t>(std::lround(outcomes.completions)));
    heartbeat.set_recent_cuts(
        static_cast<std::uint32_t>(std::lround(outcomes.cuts)));
    heartbeat.set_recent_answer_ms(static_cast<std::uint32_t>(
        std::lround(outcomes.answer_seconds * milliseconds_per_second)));
    if (outcomes.last_output)
    {
        heartbeat.set_output_ms_ago(age_ms(*outcomes.last_output, now));
    }
    if (outcomes.last_completion)
    {
        heartbeat.set_completion_ms_ago(age_ms(*outcomes.last_completion, now));
    }
}

prompt_outcomes read_outcomes(const wire::gateway_heartbeat& heartbeat,
                              boot_clock::time_point now)
{
    prompt_outcomes outcomes;
    outcomes.outputs = heartbeat.recent_outputs();
    outcomes.crashes = heartbeat.recent_crashes();
    outcomes.completions = heartbeat.recent_completions();
    outcomes.cuts = heartbeat.recent_cuts();
    outcomes.answer_seconds =
        heartbeat.recent_answer_ms() / milliseconds_per_second;
    if (heartbeat.has_output_ms_ago())
    {
        outcomes.last_output = now - milliseconds(heartbeat.output_ms_ago());
    }
    if (heartbeat.has_completion_ms_ago())
    {
        outcomes.last_completion =
            now - milliseconds(heartbeat.completion_ms_ago());
    }
    return outcomes;
}

} // namespace mangolink
