#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Timing and capacity of a model engine with continuous batching.
struct engine_model_settings final
{
    microseconds step_base{8000};        ///< fixed part of a decode step
    microseconds step_per_sequence{100}; ///< added per running sequence
    microseconds prefill_per_token{30};
    std::uint32_t max_batch = 32;
    std::size_t cache_tokens = 65'536; ///< capacity of the prefix cache
};

/// Unit of the prefix cache. The id is a hash over the block and everything
/// before it, so equal ids mean equal prefixes.
struct prompt_block final
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Generation request as the engine schedules it.
struct engine_sequence final
{
    std::uint64_t id = 0;
    std::vector<prompt_block> blocks; ///< cacheable ones, in order
    std::uint32_t prompt_tokens = 0;  ///< including the blocks
    std::uint32_t max_tokens = 0;
    std::uint32_t priority = 0;    ///< 0 is the highest
    std::uint32_t resume_from = 0; ///< index of the first token to generate
};

/// Insertion or eviction of a prompt block.
struct cache_change final
{
    std::uint64_t block = 0;
    bool stored = true; ///< false: evicted
};

/// Token that one step generated for a sequence.
struct engine_token final
{
    std::uint64_t id = 0;
    std::uint32_t index = 0; ///< 0 for the first token
    bool last = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// Duration and output of one step.
struct engine_step final
{
    microseconds length{0};
    std::vector<engine_token> tokens;
};

/// Simulates continuous batching with a prompt-prefix cache. Uses neither
/// threads nor a clock.
class engine_model final
{
public:
    explicit engine_model(engine_model_settings settings);

    void add(engine_sequence sequence);
    void cancel(std::uint64_t id);
    bool idle() const { return waiting_.empty() && running_.empty(); }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

    /// Returns the longest cached prefix of the blocks.
    std::vector<prompt_block>
    export_prefix(std::vector<prompt_block> blocks) const;

    /// Inserts blocks exported by another engine into the cache.
    void import_blocks(const std::vector<prompt_block>& blocks);

    /// Returns the cache changes since the previous call.
    std::vector<cache_change> take_cache_changes();

    /// Admits and prefills waiting sequences, then decodes one token of each
    /// running sequence.
    engine_step step();

private:
    struct running_sequence final
    {
        engine_sequence sequence;
        std::uint32_t produced = 0;
        std::uint32_t cached_tokens = 0;
    };

    microseconds admit_waiting();
    microseconds prefill(running_sequence& entry);
    bool touch_block(const prompt_block& block);

    engine_model_settings settings_;
    std::vector<engine_sequence> waiting_;
    std::vector<running_sequence> running_;
    std::vector<cache_change> changes_;
    std::list<prompt_block> cache_order_; ///< least recently used first
    absl::flat_hash_map<std::uint64_t, std::list<prompt_block>::iterator>
        cache_;
    std::size_t cached_ = 0; ///< in tokens
};

/// Tokens per block of a text prompt.
constexpr std::uint32_t text_block_tokens = 16;

/// Splits a text prompt into its complete blocks.
std::vector<prompt_block> text_blocks(const std::string& prompt);

/// Returns the number of tokens of a text prompt.
std::uint32_t text_tokens(const std::string& prompt);

} // namespace mangolink::bench
