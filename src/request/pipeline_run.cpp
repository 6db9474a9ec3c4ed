#include "request/pipeline_run.hpp"

#include <algorithm>

namespace mangolink
{

pipeline_run::pipeline_run(run_request accepted) : request(std::move(accepted))
{
}

const pipeline_stage& pipeline_run::current_stage() const
{
    return request.selected_pipeline->stages[stage];
}

bool pipeline_run::last_stage() const
{
    return stage + 1 == request.selected_pipeline->stages.size();
}

stage_attempt* pipeline_run::find_attempt(std::uint32_t stage_index,
                                          std::uint32_t number)
{
    const auto found = std::find_if(attempts.begin(), attempts.end(),
                                    [&](const stage_attempt& attempt) {
                                        return attempt.stage == stage_index &&
                                               attempt.number == number;
                                    });
    return found == attempts.end() ? nullptr : &*found;
}

std::uint32_t pipeline_run::attempts_of_stage() const
{
    return static_cast<std::uint32_t>(
        std::count_if(attempts.begin(), attempts.end(),
                      [this](const stage_attempt& attempt)
                      { return attempt.stage == stage; }));
}

std::vector<member_id> pipeline_run::members_tried() const
{
    std::vector<member_id> result;
    for (const auto& attempt : attempts)
    {
        if (attempt.stage == stage)
        {
            result.push_back(attempt.receiver);
        }
    }
    return result;
}

outcome pipeline_run::proven_outcome() const
{
    const auto has = [this](attempt_state state)
    {
        return std::any_of(attempts.begin(), attempts.end(),
                           [state](const stage_attempt& attempt)
                           { return attempt.state == state; });
    };
    if (has(attempt_state::pending) || has(attempt_state::lost))
    {
        return outcome::unknown;
    }
    return has(attempt_state::ended) ? outcome::failed : outcome::not_run;
}

} // namespace mangolink
