#include "standins/engine_model.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace mangolink::bench
{
namespace
{

constexpr std::size_t chars_per_token = 4;

} // namespace

engine_model::engine_model(engine_model_settings settings) : settings_(settings)
{
}

void engine_model::add(engine_sequence sequence)
{
    const auto after =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&](const engine_sequence& entry)
                     { return entry.priority > sequence.priority; });
    waiting_.insert(after, std::move(sequence));
}

void engine_model::cancel(std::uint64_t id)
{
    std::erase_if(waiting_, [id](const engine_sequence& entry)
                  { return entry.id == id; });
    std::erase_if(running_, [id](const running_sequence& entry)
                  { return entry.sequence.id == id; });
}

engine_step engine_model::step()
{
    engine_step result;
    result.length = admit_waiting();
    result.length +=
        settings_.step_base + settings_.step_per_sequence *
                                  static_cast<std::int64_t>(running_.size());
    for (auto& entry : running_)
    {
        const bool last = entry.produced + 1 >= entry.sequence.max_tokens;
        result.tokens.push_back({entry.sequence.id, entry.produced, last,
                                 entry.sequence.prompt_tokens,
                                 entry.cached_tokens});
        ++entry.produced;
    }
    std::erase_if(running_, [](const running_sequence& entry)
                  { return entry.produced >= entry.sequence.max_tokens; });
    return result;
}

microseconds engine_model::admit_waiting()
{
    microseconds spent{0};
    while (!waiting_.empty() && running_.size() < settings_.max_batch)
    {
        running_sequence entry;
        entry.sequence = std::move(waiting_.front());
        entry.produced = entry.sequence.resume_from;
        waiting_.erase(waiting_.begin());
        spent += prefill(entry);
        running_.push_back(std::move(entry));
    }
    return spent;
}

microseconds engine_model::prefill(running_sequence& entry)
{
    const engine_sequence& sequence = entry.sequence;
    bool prefix_known = true;
    for (const auto& block : sequence.blocks)
    {
        const bool known = touch_block(block);
        prefix_known = prefix_known && known;
        entry.cached_tokens += prefix_known ? block.tokens : 0;
    }
    return settings_.prefill_per_token *
           static_cast<std::int64_t>(sequence.prompt_tokens -
                                     entry.cached_tokens);
}

std::vector<prompt_block>
engine_model::export_prefix(std::vector<prompt_block> blocks) const
{
    const auto unknown = std::find_if(blocks.begin(), blocks.end(),
                                      [this](const prompt_block& block)
                                      { return !cache_.contains(block.id); });
    blocks.erase(unknown, blocks.end());
    return blocks;
}

void engine_model::import_blocks(const std::vector<prompt_block>& blocks)
{
    for (const auto& block : blocks)
    {
        touch_block(block);
    }
}

std::vector<cache_change> engine_model::take_cache_changes()
{
    return std::exchange(changes_, {});
}

bool engine_model::touch_block(const prompt_block& block)
{
    const auto found = cache_.find(block.id);
    const bool known = found != cache_.end();
    if (known)
    {
        cache_order_.erase(found->second);
    }
    else
    {
        changes_.push_back({block.id, true});
        cached_ += block.tokens;
    }
    cache_order_.push_back(block);
    cache_[block.id] = std::prev(cache_order_.end());
    while (cached_ > settings_.cache_tokens)
    {
        const prompt_block& oldest = cache_order_.front();
        changes_.push_back({oldest.id, false});
        cached_ -= oldest.tokens;
        cache_.erase(oldest.id);
        cache_order_.pop_front();
    }
    return known;
}

std::vector<prompt_block> text_blocks(const std::string& prompt)
{
    constexpr std::size_t block_chars = text_block_tokens * chars_per_token;
    std::vector<prompt_block> blocks;
    std::uint64_t prefix = 0;
    for (std::size_t at = 0; at + block_chars <= prompt.size();
         at += block_chars)
    {
        prefix = stable_hash({prompt.data() + at, block_chars}, prefix);
        blocks.push_back({prefix, text_block_tokens});
    }
    return blocks;
}

std::uint32_t text_tokens(const std::string& prompt)
{
    return static_cast<std::uint32_t>(prompt.size() / chars_per_token + 1);
}

} // namespace mangolink::bench
