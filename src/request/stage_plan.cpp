#include "request/stage_plan.hpp"

#include <algorithm>
#include <numeric>

namespace mangolink
{

stage_plan::stage_plan(std::vector<stage_definition> stages,
                       const std::vector<std::uint32_t>& item_counts)
    : stages_(std::move(stages)), pieces_(stages_.size())
{
    for (std::size_t i = 0; i < stages_.size() && i < item_counts.size(); ++i)
    {
        pieces_[i].resize(item_counts[i]);
    }
}

std::vector<stage_piece> stage_plan::take_ready()
{
    std::vector<stage_piece> ready;
    const auto longest = longest_chain();
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!inputs_made(stage) || 1 + stages_after(stage) < longest)
        {
            continue;
        }
        for (std::uint32_t i = 0; i < pieces_[stage].size(); ++i)
        {
            if (pieces_[stage][i].state == piece_state::waiting)
            {
                pieces_[stage][i].state = piece_state::issued;
                ready.push_back({stage, i});
            }
        }
    }
    return ready;
}

bool stage_plan::made(stage_piece piece, std::string handle)
{
    piece_row& row = pieces_[piece.stage][piece.piece];
    if (row.state != piece_state::issued)
    {
        return false;
    }
    row.state = piece_state::made;
    row.handle = std::move(handle);
    return true;
}

void stage_plan::give_back(stage_piece piece)
{
    piece_row& row = pieces_[piece.stage][piece.piece];
    if (row.state == piece_state::issued)
    {
        row.state = piece_state::waiting;
    }
}

std::vector<std::string> stage_plan::restart()
{
    auto handles = unreleased();
    for (auto& stage : pieces_)
    {
        for (auto& row : stage)
        {
            row = {};
        }
    }
    return handles;
}

std::vector<std::string> stage_plan::inputs_of(std::uint32_t stage) const
{
    std::vector<std::string> handles;
    for (const auto input : stages_[stage].inputs_from)
    {
        collect(input, handles);
    }
    return handles;
}

std::vector<stage_result> stage_plan::final_results() const
{
    std::vector<stage_result> results;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!is_final(stage))
        {
            continue;
        }
        for (const auto& row : pieces_[stage])
        {
            if (row.state == piece_state::made)
            {
                results.push_back({row.handle, stages_[stage].result_bytes});
            }
        }
    }
    return results;
}

std::vector<std::string> stage_plan::take_used()
{
    std::vector<std::string> handles;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (is_final(stage))
        {
            continue;
        }
        bool used = true;
        for (std::uint32_t other = 0; other < stages_.size(); ++other)
        {
            const auto& from = stages_[other].inputs_from;
            if (std::find(from.begin(), from.end(), stage) != from.end())
            {
                used = used && has_all(other);
            }
        }
        for (auto& row : pieces_[stage])
        {
            if (used && row.state == piece_state::made)
            {
                row.state = piece_state::released;
                handles.push_back(row.handle);
            }
        }
    }
    return handles;
}

std::vector<std::string> stage_plan::unreleased() const
{
    std::vector<std::string> handles;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        collect(stage, handles);
    }
    return handles;
}

bool stage_plan::complete() const
{
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!has_all(stage))
        {
            return false;
        }
    }
    return true;
}

std::uint32_t stage_plan::stages_after(std::uint32_t stage) const
{
    std::uint32_t longest = 0;
    for (std::uint32_t other = stage + 1; other < stages_.size(); ++other)
    {
        const auto& from = stages_[other].inputs_from;
        if (!pieces_[other].empty() &&
            std::find(from.begin(), from.end(), stage) != from.end())
        {
            longest = std::max(longest, 1 + stages_after(other));
        }
    }
    return longest;
}

milliseconds stage_plan::expected_time(
    const std::function<milliseconds(std::uint32_t stage)>& time) const
{
    // Stages that as many must follow run side by side, see take_ready().
    std::vector<milliseconds> by_distance(stages_.size(), milliseconds(0));
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!pieces_[stage].empty())
        {
            auto& slowest = by_distance[stages_after(stage)];
            slowest = std::max(slowest, time(stage));
        }
    }
    return std::accumulate(by_distance.begin(), by_distance.end(),
                           milliseconds(0));
}

bool stage_plan::has_all(std::uint32_t stage) const
{
    return std::all_of(pieces_[stage].begin(), pieces_[stage].end(),
                       [](const piece_row& row)
                       {
                           return row.state == piece_state::made ||
                                  row.state == piece_state::released;
                       });
}

bool stage_plan::inputs_made(std::uint32_t stage) const
{
    const auto& from = stages_[stage].inputs_from;
    return std::all_of(from.begin(), from.end(),
                       [this](std::uint32_t input) { return has_all(input); });
}

std::uint32_t stage_plan::longest_chain() const
{
    std::uint32_t longest = 0;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!has_all(stage))
        {
            longest = std::max(longest, 1 + stages_after(stage));
        }
    }
    return longest;
}

bool stage_plan::is_final(std::uint32_t stage) const
{
    return std::none_of(stages_.begin(), stages_.end(),
                        [stage](const stage_definition& other)
                        {
                            const auto& from = other.inputs_from;
                            return std::find(from.begin(), from.end(), stage) !=
                                   from.end();
                        });
}

void stage_plan::collect(std::uint32_t stage,
                         std::vector<std::string>& handles) const
{
    for (const auto& row : pieces_[stage])
    {
        if (row.state == piece_state::made)
        {
            handles.push_back(row.handle);
        }
    }
}

} // namespace mangolink
