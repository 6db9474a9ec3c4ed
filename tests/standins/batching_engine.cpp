#include "standins/batching_engine.hpp"

#include "base/hash.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace mangolink::test
{
namespace
{

/// Reads the blocks of the shared prompt prefix from X-Prompt-Prefix
/// ("HASH:TOKENS,..."). Each block hash covers the blocks before it.
std::vector<bench::prompt_block>
shared_prefix_blocks(const text_request& request)
{
    std::vector<bench::prompt_block> blocks;
    std::uint64_t prefix_hash = 0;
    const std::string parts(request["X-Prompt-Prefix"]);
    for (const auto part : absl::StrSplit(parts, ',', absl::SkipEmpty()))
    {
        const std::vector<std::string> fields = absl::StrSplit(part, ':');
        std::uint32_t tokens = 0;
        if (fields.size() == 2 && absl::SimpleAtoi(fields[1], &tokens))
        {
            prefix_hash = stable_hash(fields[0], prefix_hash);
            blocks.push_back({prefix_hash, tokens});
        }
    }
    return blocks;
}

/// Returns the prompt tokens, the first number of X-Token-Counts ("IN,OUT").
std::uint32_t prompt_tokens(const text_request& request)
{
    const std::string counts(request["X-Token-Counts"]);
    std::uint32_t tokens = 0;
    return absl::SimpleAtoi(counts.substr(0, counts.find(',')), &tokens)
               ? tokens
               : 0;
}

} // namespace

std::string event_text(unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: part " +
           std::to_string(number) + "\n\n";
}

std::string encode_chunk(const std::string& bytes)
{
    return absl::StrFormat("%x\r\n", bytes.size()) + bytes + "\r\n";
}

batching_engine::batching_engine(const batching_engine_settings& settings,
                                 standin_server& server)
    : settings_(settings), server_(server), model_(settings.model)
{
}

std::optional<scripted_answer>
batching_engine::start(const text_request& request, std::string head)
{
    const std::lock_guard lock(mutex_);
    const auto capacity = settings_.model.max_batch + settings_.max_waiting;
    if (model_.running() + model_.waiting() >= capacity)
    {
        return std::nullopt;
    }
    const auto id = next_id_++;
    const std::string last(request["Last-Event-Id"]);
    unsigned resume_from = 0;
    if (!last.empty() && !absl::SimpleAtoi(last, &resume_from))
    {
        return std::nullopt;
    }
    model_.add({id, shared_prefix_blocks(request), prompt_tokens(request),
                settings_.events_per_answer, 0, resume_from});
    scripted_answer script;
    script.parts.push_back({std::move(head), {}});
    script.stream =
        std::make_shared<body_stream>(server_.context(),
                                      [this, id]
                                      {
                                          const std::lock_guard inner(mutex_);
                                          model_.cancel(id);
                                          streams_.erase(id);
                                      });
    streams_[id] = script.stream;
    if (!stepping_)
    {
        stepping_ = true;
        server_.post([this] { step(); });
    }
    return script;
}

void batching_engine::step()
{
    const std::lock_guard lock(mutex_);
    if (model_.idle())
    {
        stepping_ = false;
        return;
    }
    const auto result = model_.step();
    largest_batch_ = std::max(largest_batch_, result.tokens.size());
    const auto length = std::chrono::ceil<milliseconds>(result.length);
    server_.post(
        [this, result]
        {
            deliver(result);
            step();
        },
        length);
}

void batching_engine::deliver(const bench::engine_step& step)
{
    const std::lock_guard lock(mutex_);
    for (const auto& token : step.tokens)
    {
        const bool first = token.index == 0;
        prefilled_tokens_ +=
            first ? token.prompt_tokens - token.cached_tokens : 0;
        reused_tokens_ += first ? token.cached_tokens : 0;
        const auto found = streams_.find(token.id);
        if (found == streams_.end())
        {
            continue;
        }
        found->second->push(encode_chunk(event_text(token.index + 1)));
        if (token.last)
        {
            found->second->push("0\r\n\r\n");
            found->second->finish();
            streams_.erase(found);
        }
    }
}

std::uint64_t batching_engine::prefilled_tokens() const
{
    const std::lock_guard lock(mutex_);
    return prefilled_tokens_;
}

std::uint64_t batching_engine::reused_tokens() const
{
    const std::lock_guard lock(mutex_);
    return reused_tokens_;
}

std::size_t batching_engine::largest_batch() const
{
    const std::lock_guard lock(mutex_);
    return largest_batch_;
}

} // namespace mangolink::test
