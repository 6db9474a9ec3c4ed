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

/// How a stage-pool or application server behaves.
struct plain_server_settings final
{
    std::string name;
    std::string listen;
    microseconds service_time{2000};
    std::uint64_t seed = 1;
    double spread = 0.2; ///< of the service time, both ways
};

/// Stand-in for encoders, retrievers, rerankers and application servers: it
/// records each request as executed and answers after its service time.
///
/// GET /control/executions shows the record, POST /control/behaviour takes
/// {"slow": factor, "status": code, "close_after_body": bool}.
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
