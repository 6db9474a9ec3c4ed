#pragma once

#include "request/stage_task.hpp"

#include <string>
#include <vector>

namespace mangolink::test
{

/// Client of a task with one item, which records how the item ended.
class item_client final : public stage_client
{
public:
    bool wants_items() const override { return outcomes.empty(); }
    void item_ended(stage_item, stage_item_answer answer) override
    {
        outcomes.push_back(answer.end);
        handle = answer.handle;
    }

    std::vector<stage_item_outcome> outcomes;
    std::string handle; ///< of the last outcome
};

} // namespace mangolink::test
