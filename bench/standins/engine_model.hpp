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

/// Times of a model engine that batches continuously.
struct engine_model_settings final
{
    microseconds step_base{8000};        ///< of one decode step
    microseconds step_per_sequence{100}; ///< more for each running sequence
    microseconds prefill_per_token{30};
    std::uint32_t max_batch = 32;
    std::size_t cache_tokens = 65'536; ///< of prompts, kept
};

/// Part of a prompt that is cached as a whole. Its id covers all that stands
/// before it, so equal ids mean equal prefixes.
struct prompt_block final
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// One sequence of tokens to generate.
struct engine_sequence final
{
    std::uint64_t id = 0;
    std::vector<prompt_block> blocks; ///< those that can be cached, in order
    std::uint32_t prompt_tokens = 0;  ///< blocks included
    std::uint32_t max_tokens = 0;
    std::uint32_t priority = 0;    ///< 0 is the most urgent
    std::uint32_t resume_from = 0; ///< index of the first token wanted
};

/// A prompt block that entered or left the cache.
struct cache_change final
{
    std::uint64_t block = 0;
    bool stored = true; ///< false: evicted
};

/// What a sequence got in one step.
struct engine_token final
{
    std::uint64_t id = 0;
    std::uint32_t index = 0; ///< 0 for the first token
    bool last = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// Result of one step.
struct engine_step final
{
    microseconds length{0};
    std::vector<engine_token> tokens;
};

/// Continuous batching with a prompt-prefix cache, without threads or time.
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

    /// Puts blocks of another engine into the cache.
    void import_blocks(const std::vector<prompt_block>& blocks);

    /// Returns what changed in the cache since the last call.
    std::vector<cache_change> take_cache_changes();

    /// Admits waiting sequences, prefills them and decodes one token each.
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
    std::size_t cached_ = 0; ///< tokens in the cache
};

/// Tokens of each block of a prompt given as text.
constexpr std::uint32_t text_block_tokens = 16;

/// Returns the blocks of a prompt given as text.
std::vector<prompt_block> text_blocks(const std::string& prompt);

/// Returns the tokens of a prompt given as text.
std::uint32_t text_tokens(const std::string& prompt);

} // namespace mangolink::bench
