#pragma once

#include <nlohmann/json.hpp>

#include <mutex>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// One request that a stand-in began to execute.
struct execution final
{
    std::string server;
    std::string request_id;
    std::string key;
    std::string path;
};

/// Everything that the stand-ins of one process executed. Any thread.
class execution_record final
{
public:
    void add(execution row)
    {
        const std::lock_guard lock(mutex_);
        rows_.push_back(std::move(row));
    }

    /// Returns {"executions": [...]}.
    std::string text() const
    {
        const std::lock_guard lock(mutex_);
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& row : rows_)
        {
            rows.push_back({{"server", row.server},
                            {"request_id", row.request_id},
                            {"key", row.key},
                            {"path", row.path}});
        }
        return nlohmann::json{{"executions", rows}}.dump();
    }

private:
    mutable std::mutex mutex_;
    std::vector<execution> rows_;
};

} // namespace mangolink::bench
