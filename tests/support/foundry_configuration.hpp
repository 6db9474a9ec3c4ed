#pragma once

#include <nlohmann/json.hpp>

namespace mangolink::test
{

/// Returns the pipelines of the tests: "dossier" (four stages), "question"
/// (encode), "talk" (generate) and "commission" (a non-idempotent call).
inline nlohmann::json foundry_pipelines()
{
    return nlohmann::json::parse(R"({
      "dossier": {"stages": [
        {"name": "encode", "kind": "encode", "pool": "encoders"},
        {"name": "retrieve", "kind": "retrieve", "pool": "retrievers"},
        {"name": "rerank", "kind": "rerank", "pool": "rerankers"},
        {"name": "generate", "kind": "generate", "pool": "engines"}]},
      "question": {"stages": [
        {"name": "encode", "kind": "encode", "pool": "encoders"}]},
      "talk": {"deadline_ms": 20000, "stages": [
        {"name": "generate", "kind": "generate", "pool": "engines"}]},
      "commission": {"customers": ["caster"], "stages": [
        {"name": "order", "kind": "call", "pool": "desk", "path": "/orders",
         "idempotent": false}]}})");
}

/// Returns a selection of these pipelines by name.
inline nlohmann::json
pipelines_named(const std::initializer_list<const char*>& names)
{
    nlohmann::json chosen = nlohmann::json::object();
    for (const char* name : names)
    {
        chosen[name] = foundry_pipelines()[name];
    }
    return chosen;
}

/// Returns the customers of the tests.
inline nlohmann::json foundry_customers()
{
    return nlohmann::json::parse(R"({"caster": {"share": 3}, "glazier": {}})");
}

} // namespace mangolink::test
