#pragma once

#include "connection/http_message.hpp"
#include "connection/http_server.hpp"
#include "standins/engine_commands.hpp"
#include "standins/engine_model.hpp"
#include "standins/engine_reports.hpp"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace mangolink
{
class http_exchange;
}

namespace mangolink::bench
{

class execution_record;

/// Configuration of a stand-in engine.
struct engine_server_settings final
{
    std::string name;
    std::string listen;
    engine_model_settings model;
    bool checks_fence = true;
    milliseconds report_lag{500};
    double event_gaps = 0.05; ///< fraction of the cache events lost
    std::uint64_t seed = 1;
};

/// Stand-in for a model engine.
///
/// POST /v1/completions, streamed, with "priority" and "resume_from"; POST
/// /v1/cancel {"request_id"}; POST /v1/kv/export {"prompt"} and /v1/kv/import
/// {"blocks"}; POST /v1/orders {"fence", "action", "subject"}; GET /v1/load,
/// delayed; GET /v1/cache/events?after=N, delayed and with gaps.
///
/// GET /control/executions returns the execution record, POST
/// /control/behaviour accepts {"slow": factor}.
class engine_server final
{
public:
    engine_server(engine_server_settings settings, execution_record& record);
    ~engine_server();

private:
    struct stream final
    {
        std::shared_ptr<http_exchange> exchange;
        bool begun = false;
        std::string request_id;
    };

    void on_request(const std::shared_ptr<http_exchange>& exchange);
    void start(const std::shared_ptr<http_exchange>& exchange);
    void on_cancel(const nlohmann::json& body);
    http_response control_answer(const http_request& request);
    void run();
    void emit(const engine_token& token);

    engine_server_settings settings_;
    execution_record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    engine_model model_;
    engine_commands commands_;
    engine_reports reports_;
    absl::flat_hash_map<std::uint64_t, stream> streams_;
    std::uint64_t next_id_ = 1;
    bool stopping_ = false;
    std::atomic<double> slowdown_{1};
    std::thread thread_;
    http_server server_;
};

} // namespace mangolink::bench
