#include "request/stage_codec.hpp"

#include "version/configuration.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr std::uint32_t default_max_tokens = 64;
constexpr std::uint32_t max_max_tokens = 65'536;
constexpr std::uint32_t default_top_k = 4;
constexpr std::uint32_t max_top_k = 1000;
constexpr double chars_per_unit = 4096;
constexpr double prompt_chars_per_token_time = 256;

std::string quote(const std::string& text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string list_or_empty(const std::string& list)
{
    return list.empty() ? "[]" : list;
}

std::string encode_body(const run_context& context, const pipeline_stage&,
                        std::uint32_t)
{
    return "{\"input\":" + quote(context.input) + "}";
}

bool parse_embedding(run_context& context, std::string_view body)
{
    const json answer = json::parse(body, nullptr, false);
    const auto pointer = json::json_pointer("/data/0/embedding");
    if (!answer.is_object() || !answer.contains(pointer) ||
        !answer[pointer].is_array())
    {
        return false;
    }
    context.embedding = answer[pointer].dump();
    context.answer = std::string(body);
    return true;
}

std::string retrieve_body(const run_context& context, const pipeline_stage&,
                          std::uint32_t)
{
    return "{\"embedding\":" + list_or_empty(context.embedding) +
           ",\"query\":" + quote(context.input) +
           ",\"top_k\":" + std::to_string(context.top_k) + "}";
}

bool parse_documents(run_context& context, std::string_view body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("documents") ||
        !answer["documents"].is_array())
    {
        return false;
    }
    context.documents = answer["documents"].dump();
    context.answer = std::string(body);
    return true;
}

std::string rerank_body(const run_context& context, const pipeline_stage&,
                        std::uint32_t)
{
    return "{\"query\":" + quote(context.input) +
           ",\"documents\":" + list_or_empty(context.documents) + "}";
}

std::string prompt_of(const run_context& context)
{
    std::string prompt;
    const json documents = json::parse(context.documents, nullptr, false);
    if (documents.is_array())
    {
        for (const auto& document : documents)
        {
            prompt += document.is_string() ? document.get<std::string>()
                                           : document.dump();
            prompt += '\n';
        }
    }
    return prompt + context.input;
}

std::string generate_body(const run_context& context,
                          const pipeline_stage& stage, std::uint32_t priority)
{
    const std::string model =
        stage.adapter.empty() ? stage.model : stage.model + ":" + stage.adapter;
    return "{\"model\":" + quote(model) +
           ",\"prompt\":" + quote(prompt_of(context)) +
           ",\"max_tokens\":" + std::to_string(context.max_tokens) +
           ",\"priority\":" + std::to_string(priority) + ",\"stream\":true}";
}

bool parse_text(run_context& context, std::string_view body)
{
    context.answer = std::string(body);
    return true;
}

std::string call_body(const run_context& context, const pipeline_stage&,
                      std::uint32_t)
{
    return context.body;
}

bool parse_call_answer(run_context& context, std::string_view body)
{
    if (!json::accept(body))
    {
        return false;
    }
    context.answer = std::string(body);
    return true;
}

double constant_units(const run_context&)
{
    return 1;
}

double input_units(const run_context& context)
{
    return 1 + static_cast<double>(context.input.size()) / chars_per_unit;
}

double token_units(const run_context& context)
{
    const auto prompt = context.input.size() + context.documents.size();
    return context.max_tokens +
           static_cast<double>(prompt) / prompt_chars_per_token_time;
}

constexpr std::array codecs{
    stage_codec{encode_body, parse_embedding, input_units, false},
    stage_codec{retrieve_body, parse_documents, constant_units, false},
    stage_codec{rerank_body, parse_documents, constant_units, false},
    stage_codec{generate_body, parse_text, token_units, true},
    stage_codec{call_body, parse_call_answer, constant_units, false},
};

std::optional<std::uint32_t> read_count(const json& body, const char* key,
                                        std::uint32_t default_value,
                                        std::uint32_t max_value)
{
    const auto found = body.find(key);
    if (found == body.end())
    {
        return default_value;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
        found->get<std::int64_t>() > max_value)
    {
        return std::nullopt;
    }
    return found->get<std::uint32_t>();
}

} // namespace

const stage_codec& codec_of(stage_kind kind)
{
    return codecs[static_cast<std::size_t>(kind)];
}

std::optional<run_context> read_caller_body(stage_kind first, std::string body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
    {
        return std::nullopt;
    }
    run_context context;
    context.body = std::move(body);
    if (first == stage_kind::call)
    {
        return context;
    }
    const auto input = parsed.find("input");
    const auto tokens =
        read_count(parsed, "max_tokens", default_max_tokens, max_max_tokens);
    const auto top_k = read_count(parsed, "top_k", default_top_k, max_top_k);
    if (input == parsed.end() || !input->is_string() || !tokens || !top_k)
    {
        return std::nullopt;
    }
    context.input = input->get<std::string>();
    context.max_tokens = *tokens;
    context.top_k = *top_k;
    return context;
}

} // namespace mangolink
