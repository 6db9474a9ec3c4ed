#pragma once

#include "base/clock.hpp"
#include "request/idempotency_key.hpp"
#include "request/request_id.hpp"
#include "request/run_context.hpp"
#include "version/configuration.hpp"

#include <memory>
#include <optional>
#include <string>

namespace mangolink
{

/// A validated request of a caller.
struct run_request final
{
    request_id id;
    std::shared_ptr<const configuration>
        version; ///< owns the two objects below
    const pipeline* selected_pipeline = nullptr;
    const customer* requesting_customer = nullptr;
    run_context context;
    boot_clock::time_point deadline;
    std::uint32_t priority = 5; ///< 0 is the most urgent, 9 the least
    bool streamed = false;      ///< the caller requests a token stream
    std::optional<idempotency_key> key;
    std::string key_text;
};

} // namespace mangolink
