#include "request/backend_selector.hpp"

#include "process/member_table.hpp"

#include <absl/random/distributions.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace mangolink
{
namespace
{

/// Scores within a quarter of the best are equal; the lower occupancy wins.
constexpr std::int64_t tolerance_divisor = 4;

/// Lower bound of the work, so that the slowdown of servers affects the score
/// when the length of the work is unknown.
constexpr microseconds min_work{1000};

} // namespace

struct backend_selector::policy_entry final
{
    std::string_view name;
    policy_member choose;
};

backend_selector::backend_selector(backend_selector_settings settings,
                                   const member_table& members,
                                   absl::BitGenRef random)
    : settings_(std::move(settings)), members_(members), random_(random),
      policy_(policy_named(settings_.policy))
{
}

std::optional<scored_member>
backend_selector::select(std::uint32_t pool,
                         std::span<const member_id> excluded, microseconds work,
                         boot_clock::time_point now)
{
    work_ = work;
    usable_.clear();
    for (const member_id id : members_.pool(pool))
    {
        const bool skip =
            std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (!skip && members_.usable(*members_.find(id), now))
        {
            usable_.push_back(id);
        }
    }
    if (usable_.empty())
    {
        return std::nullopt;
    }
    return (this->*policy_)(usable_);
}

microseconds backend_selector::expected_wait(const member& candidate) const
{
    const microseconds work =
        candidate.load.queued_work + candidate.unreported_work;
    return work / static_cast<std::int64_t>(candidate.load.limit);
}

std::vector<scored_member>
backend_selector::explain(std::uint32_t pool, microseconds work,
                          boot_clock::time_point now) const
{
    std::vector<scored_member> result;
    for (const member_id id : members_.pool(pool))
    {
        if (members_.usable(*members_.find(id), now))
        {
            result.push_back(score(id, work));
        }
    }
    std::sort(result.begin(), result.end(),
              [](const scored_member& a, const scored_member& b)
              { return a.score < b.score; });
    return result;
}

backend_selector::policy_member
backend_selector::policy_named(const std::string& name)
{
    static constexpr std::array<policy_entry, 3> policies{{
        {"expected_wait", &backend_selector::choose_expected_wait},
        {"round_robin", &backend_selector::choose_round_robin},
        {"least_requests", &backend_selector::choose_least_requests},
    }};
    for (const auto& entry : policies)
    {
        if (entry.name == name)
        {
            return entry.choose;
        }
    }
    throw std::invalid_argument("unknown routing policy: " + name);
}

std::optional<scored_member>
backend_selector::choose_expected_wait(std::span<const member_id> usable)
{
    sample(usable);
    const auto best =
        std::min_element(samples_.begin(), samples_.end(),
                         [](const scored_member& a, const scored_member& b)
                         { return a.score < b.score; });
    const distance best_distance = members_.find(best->id)->where;
    const auto limit = best->score + best->score / tolerance_divisor;
    const scored_member* chosen = &*best;
    double least = members_.find(best->id)->occupancy();
    for (const auto& candidate : samples_)
    {
        const member& info = *members_.find(candidate.id);
        const bool near =
            info.where == best_distance && candidate.score <= limit;
        if (near && info.occupancy() < least)
        {
            least = info.occupancy();
            chosen = &candidate;
        }
    }
    return *chosen;
}

void backend_selector::sample(std::span<const member_id> usable)
{
    // Small pools are compared completely; only large ones are sampled.
    const std::size_t sample_count = std::size_t{3} * settings_.choices;
    const bool compare_all = usable.size() <= sample_count;
    const std::size_t count = compare_all ? usable.size() : sample_count;
    const std::size_t first =
        absl::Uniform<std::size_t>(random_, 0, usable.size());
    samples_.clear();
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t index =
            compare_all ? (first + i) % usable.size()
                        : absl::Uniform<std::size_t>(random_, 0, usable.size());
        samples_.push_back(score(usable[index], work_));
    }
}

std::optional<scored_member>
backend_selector::choose_round_robin(std::span<const member_id> usable)
{
    return score(usable[next_index_++ % usable.size()], work_);
}

std::optional<scored_member>
backend_selector::choose_least_requests(std::span<const member_id> usable)
{
    const auto fewer = [this](member_id a, member_id b)
    { return members_.find(a)->outstanding < members_.find(b)->outstanding; };
    return score(*std::min_element(usable.begin(), usable.end(), fewer), work_);
}

scored_member backend_selector::score(member_id id, microseconds work) const
{
    const member& candidate = *members_.find(id);
    scored_member result;
    result.id = id;
    result.wait = expected_wait(candidate);
    const auto service = std::chrono::duration_cast<microseconds>(
        std::max(work, min_work) * candidate.load.slowdown);
    result.score = result.wait + service;
    if (candidate.where != distance::same_zone)
    {
        result.score += settings_.zone_price;
    }
    if (candidate.where == distance::other_region)
    {
        result.score += settings_.region_price;
    }
    return result;
}

} // namespace mangolink
