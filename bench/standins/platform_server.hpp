#pragma once

#include "base/clock.hpp"
#include "connection/http_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mangolink
{
class http_exchange;
}

namespace mangolink::bench
{

class timer_queue;

/// Listening address and initial data of the platform stand-in.
struct platform_server_settings final
{
    std::string listen;
    nlohmann::json first_value; ///< configuration number 1
    nlohmann::json instances;   ///< entries of the instance list
};

/// Stand-in for the configuration service and the instance list.
///
/// GET /v1/configuration/changes?after=N&wait_ms=W returns the documents after
/// N, as a long poll when there are none yet. GET /v1/instances returns the
/// instance list. Control: POST /control/publish (a patch document), POST
/// /control/mode {"down": bool, "stale": bool}, POST /control/instances (an
/// array of entries), GET /control/reads.
class platform_server final
{
public:
    platform_server(platform_server_settings settings, timer_queue& timer);
    ~platform_server();

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    struct watcher final
    {
        exchange_pointer exchange;
        std::uint64_t after = 0;
    };

    void on_request(const exchange_pointer& exchange);
    void on_changes(const exchange_pointer& exchange);
    void on_control(const exchange_pointer& exchange);
    void publish(const nlohmann::json& document);
    std::string changes_after(std::uint64_t number) const;
    void answer_watchers();

    platform_server_settings settings_;
    timer_queue& timer_;
    std::mutex mutex_;
    nlohmann::json value_;
    std::uint64_t number_ = 1;
    std::map<std::uint64_t, nlohmann::json> documents_;
    std::map<std::uint64_t, watcher> watchers_;
    std::uint64_t next_watcher_ = 1;
    std::uint64_t reads_ = 0;
    bool down_ = false;
    bool stale_ = false; ///< keeps serving the initial value
    http_server server_;
};

} // namespace mangolink::bench
