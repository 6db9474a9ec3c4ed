#pragma once

#include "base/clock.hpp"
#include "connection/http_server.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace mangolink
{
class http_exchange;
}

namespace mangolink::bench
{

/// Stand-in for the weight store: GET /v1/weights/NAME, limited to `rate`
/// requests per second; requests above the limit are answered with 429.
class weight_store final
{
public:
    weight_store(const std::string& listen, double rate);

private:
    void on_request(const std::shared_ptr<http_exchange>& exchange);

    double rate_;
    std::mutex mutex_;
    double tokens_ = 1;
    boot_clock::time_point last_refill_ = boot_clock::now();
    http_server server_;
};

} // namespace mangolink::bench
