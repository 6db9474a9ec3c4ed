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

/// Limits on the requests of callers.
struct caller_api_settings final
{
    milliseconds max_deadline{60'000};
};

/// A request for a new idempotency key.
struct key_request final
{
    std::shared_ptr<const configuration> version; ///< owns the pipeline
    const pipeline* selected_pipeline = nullptr;
};

/// Why a request is rejected.
struct request_error final
{
    result_code code = result_code::malformed_request;
    std::string detail;
};

/// Converts between HTTP messages and executor requests. Thread-safe.
class caller_api final
{
public:
    explicit caller_api(caller_api_settings settings);

    using parsed = std::variant<request_error, run_request, key_request>;

    /// Parses a request and validates it against the configuration in force,
    /// which is nullptr while there is none yet.
    parsed parse(const http_request& request,
                 std::shared_ptr<const configuration> version,
                 const request_id& id, boot_clock::time_point now) const;

    /// Returns the response to a rejected request.
    static http_response error_response(const request_id& id,
                                        const request_error& error);

    /// Returns the complete response to a request.
    static http_response result_response(const request_id& id,
                                         const run_result& result);

    /// Returns the header of a streamed response.
    static http_response stream_head(const request_id& id);

    /// Returns the server-sent event for a part of the generated text.
    static std::string token_event(std::string_view text);

    /// Returns the final event of a streamed response.
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
