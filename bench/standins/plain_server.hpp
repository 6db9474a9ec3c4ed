#pragma once

#include "base/clock.hpp"
#include "connection/http_server.hpp"

#include <absl/random/random.h>

#include <cstdint>
#include <memory>
#include <string>

namespace mangolink
{
class http_exchange;
}

namespace mangolink::bench
{

class timer_queue;
class execution_record;

/// Configuration of a stand-in for a stage-pool or application server.
struct plain_server_settings final
{
    std::string name;
    std::string listen;
    microseconds service_time{2000};
    std::uint64_t seed = 1;
    double spread = 0.2; ///< maximum relative deviation of service_time
};

/// Stand-in for encoders, retrievers, rerankers and application servers:
/// records each request as executed and responds after the service time.
///
/// GET /control/executions returns the execution record, POST
/// /control/behaviour accepts {"slow": factor, "status": code}.
class plain_server final
{
public:
    plain_server(plain_server_settings settings, execution_record& record,
                 timer_queue& timer);

private:
    void on_request(const std::shared_ptr<http_exchange>& exchange);
    std::string answer_to(const http_exchange& exchange) const;
    void set_behaviour(const std::string& body);

    plain_server_settings settings_;
    execution_record& record_;
    timer_queue& timer_;
    absl::BitGen random_;
    std::atomic<double> slowdown_{1};
    std::atomic<std::uint32_t> status_{200};
    http_server server_;
};

} // namespace mangolink::bench
