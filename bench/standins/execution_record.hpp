#pragma once

#include <nlohmann/json.hpp>

#include <mutex>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Request that a stand-in started to execute.
struct execution final
{
    std::string server;
    std::string request_id;
    std::string key;
    std::string path;
};

/// All requests that the stand-ins of one process executed. Thread-safe.
class execution_record final
{
public:
    void add(execution entry)
    {
        const std::lock_guard lock(mutex_);
        entries_.push_back(std::move(entry));
    }

    /// Returns {"executions": [...]}.
    std::string text() const
    {
        const std::lock_guard lock(mutex_);
        nlohmann::json entries = nlohmann::json::array();
        for (const auto& entry : entries_)
        {
            entries.push_back({{"server", entry.server},
                               {"request_id", entry.request_id},
                               {"key", entry.key},
                               {"path", entry.path}});
        }
        return nlohmann::json{{"executions", entries}}.dump();
    }

private:
    mutable std::mutex mutex_;
    std::vector<execution> entries_;
};

} // namespace mangolink::bench
