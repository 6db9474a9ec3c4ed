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

/// A caller's request after its headers and body were checked.
struct run_request final
{
    request_id id;
    std::shared_ptr<const configuration> version; ///< owns the next two
    const pipeline* selected_pipeline = nullptr;
    const customer* requesting_customer = nullptr;
    run_context context;
    boot_clock::time_point deadline;
    std::uint32_t priority = 5; ///< 0 is the most urgent, 9 the least
    bool streamed = false;      ///< the caller wants tokens as they come
    std::optional<idempotency_key> key;
    std::string key_text;
};

} // namespace mangolink
