#include "request/attempt_message.hpp"

#include "request/pipeline_run.hpp"
#include "request/stage_codec.hpp"
#include "wire/mangolink.pb.h"

namespace mangolink
{

void write_submit(const pipeline_run& run, const stage_attempt& attempt,
                  microseconds budget, microseconds expected_work,
                  wire::envelope& message)
{
    const pipeline_stage& stage = run.current_stage();
    const stage_codec& codec = codec_of(stage.kind);
    const run_request& request = run.request;
    message.set_receiver(attempt.target_incarnation.value());
    wire::submit& submit = *message.mutable_submit();
    submit.set_request_id(request.id.bytes());
    submit.set_stage(attempt.stage);
    submit.set_attempt(attempt.number);
    submit.set_kind(static_cast<std::uint32_t>(stage.kind));
    submit.set_path(stage.path);
    submit.set_body(
        codec.request_body(request.context, stage, request.priority));
    submit.set_budget_us(to_wire(budget));
    submit.set_customer(request.requesting_customer->name);
    submit.set_weight(request.requesting_customer->share);
    submit.set_priority(request.priority);
    submit.set_expected_work_us(to_wire(expected_work));
    submit.set_idempotent(stage.idempotent);
    submit.set_streamed(codec.streamed);
    if (!stage.idempotent)
    {
        submit.set_idempotency_key(request.key_text);
    }
}

void write_cancel(const pipeline_run& run, const stage_attempt& attempt,
                  wire::envelope& message)
{
    message.set_receiver(attempt.target_incarnation.value());
    wire::attempt_ref& ref = *message.mutable_cancel()->mutable_ref();
    ref.set_request_id(run.request.id.bytes());
    ref.set_stage(attempt.stage);
    ref.set_attempt(attempt.number);
}

} // namespace mangolink
