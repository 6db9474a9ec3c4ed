#include "standins/weight_store.hpp"

#include "connection/http_exchange.hpp"

#include <algorithm>

namespace mangolink::bench
{

weight_store::weight_store(const std::string& listen, double rate)
    : rate_(rate),
      server_({.address = listen},
              [this](const std::shared_ptr<http_exchange>& exchange)
              { on_request(exchange); })
{
}

void weight_store::on_request(const std::shared_ptr<http_exchange>& exchange)
{
    const std::lock_guard lock(mutex_);
    const auto now = boot_clock::now();
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ = std::min(std::max(rate_, 1.0), tokens_ + elapsed.count() * rate_);
    if (tokens_ < 1)
    {
        exchange->respond({429, {{"Retry-After", "1"}}, "{}"});
        return;
    }
    tokens_ -= 1;
    exchange->respond(
        {200, {}, "{\"weights\":\"" + exchange->request().path + "\"}"});
}

} // namespace mangolink::bench
