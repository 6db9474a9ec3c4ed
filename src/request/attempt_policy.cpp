#include "request/attempt_policy.hpp"

namespace mangolink
{
namespace
{

bool may_retry(const gateway_route& route, const request_progress& progress,
               bool allowed)
{
    const bool safe = !progress.may_have_run || route.is_retryable();
    return safe && allowed && progress.time_left &&
           progress.sends < route.max_attempts;
}

} // namespace

next_step decide_next(const gateway_route& route, attempt_outcome end,
                      const request_progress& progress, bool allowed)
{
    if (progress.answer_begun)
    {
        const bool resumes = route.kind == route_kind::streaming &&
                             route.resumable &&
                             may_retry(route, progress, allowed);
        return end == attempt_outcome::answered ? next_step::deliver
               : resumes                        ? next_step::resume
                                                : next_step::cut;
    }
    if (end == attempt_outcome::answered &&
        (!progress.server_failure || !may_retry(route, progress, allowed)))
    {
        return next_step::deliver;
    }
    if (may_retry(route, progress, allowed))
    {
        return next_step::retry;
    }
    return progress.may_have_run ? next_step::fail : next_step::refuse;
}

} // namespace mangolink
