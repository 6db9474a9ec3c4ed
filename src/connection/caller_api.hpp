#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"
#include "connection/http_message.hpp"
#include "request/run_request.hpp"
#include "request/run_result.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace mangolink
{

class configuration;

/// Limits on what a caller may ask.
struct caller_api_settings final
{
    milliseconds max_deadline{60'000};
};

/// A request for a fresh idempotency key.
struct key_request final
{
    std::shared_ptr<const configuration> version; ///< owns the next
    const pipeline* selected_pipeline = nullptr;
};

/// Why a request is not acceptable.
struct request_error final
{
    result_code code = result_code::malformed_request;
    std::string detail;
};

/// Translates between HTTP and requests of the executor. Any thread.
class caller_api final
{
public:
    explicit caller_api(caller_api_settings settings);

    using parsed = std::variant<request_error, run_request, key_request>;

    /// Checks a request against the configuration in force, which may be
    /// nullptr when there is none yet.
    parsed parse(const http_request& request,
                 std::shared_ptr<const configuration> version,
                 const request_id& id, boot_clock::time_point now) const;

    /// Returns the answer for a request that is not acceptable.
    static http_response error_response(const request_id& id,
                                        const request_error& error);

    /// Returns the whole answer of a request.
    static http_response result_response(const request_id& id,
                                         const run_result& result);

    /// Returns the head of a streamed answer.
    static http_response stream_head(const request_id& id);

    /// Returns the event for a piece of streamed text.
    static std::string token_event(std::string_view text);

    /// Returns the last event of a streamed answer.
    static std::string outcome_event(const request_id& id,
                                     const run_result& result);

private:
    parsed parse_run(const http_request& request,
                     const pipeline& selected_pipeline,
                     std::shared_ptr<const configuration> version,
                     const request_id& id, boot_clock::time_point now) const;
    std::optional<milliseconds>
    deadline_of(const http_request& request,
                const pipeline& selected_pipeline) const;

    caller_api_settings settings_;
};

} // namespace mangolink
