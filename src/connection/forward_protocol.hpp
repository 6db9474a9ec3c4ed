#pragma once

#include "connection/asio_types.hpp"
#include "process/backend_server.hpp"
#include "request/prompt_parts.hpp"
#include "request/stage_item_outcome.hpp"
#include "request/stage_plan.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Metadata from the headers of a caller's request.
struct request_metadata final
{
    std::string id;                        ///< of this attempt of the caller
    std::optional<milliseconds> time_left; ///< timeout of the caller
    std::string api_key;
    std::uint64_t affinity = 0; ///< hash of the shared prompt prefix; 0: none
    std::uint32_t shared_tokens = 0; ///< length of the shared prompt prefix
    prompt_parts prompt;
    std::vector<std::uint32_t> item_counts; ///< by stage
    std::string item_key;         ///< input of stages without input stages
    std::uint64_t last_event = 0; ///< last event that the caller received
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< upper limit
};

/// Metadata added to a request that is sent to a backend server.
struct backend_metadata final
{
    std::string server_id;
    milliseconds time_left{0};
    std::string customer; ///< empty: none
    std::optional<std::uint32_t> priority;
    std::vector<std::string> stage_results;
    std::optional<std::uint64_t> last_event; ///< set to resume a stream
};

/// Load that a server reported with an answer.
struct server_load final
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// How long work takes at this moment on the machine that the server shares
    /// with others, relative to the usual time; nothing: it does not tell.
    std::optional<double> work_factor;
};

/// Metadata from the headers of a backend server's answer.
struct answer_metadata final
{
    std::string request_id;
    bool proven_not_run = false;
    bool signed_by_server = false;
    bool body_is_encoded = false; ///< encoded by an intermediary
    bool server_leaving = false;
    /// Time in which the server wants no further requests.
    std::optional<milliseconds> hold;
    /// Requests a second that the server takes from all processes together;
    /// no_rate_limit: it names no limit. Nothing: the answer does not tell.
    std::optional<double> rate_limit;
    bool rate_limit_invalid = false; ///< it names one that is no rate
    std::optional<server_load> load;
    std::optional<milliseconds> keep_alive;
};

/// Item in a call of a stage server.
struct stage_call_item final
{
    std::string request_id;
    stage_item item;
    milliseconds time_left{0};
    std::string item_key;            ///< used if there are no inputs
    std::vector<std::string> inputs; ///< results of earlier stages
};

/// Translates between internal types and the protocol that callers and backend
/// servers of a platform use. Stateless.
class forward_protocol
{
public:
    virtual ~forward_protocol() = default;

    /// Parses a caller's headers; throws std::invalid_argument if they are
    /// invalid.
    virtual request_metadata
    read_request(const http::fields& headers) const = 0;

    /// Removes headers that only the system may set and adds the metadata.
    virtual void write_request(http::fields& headers,
                               const backend_metadata& metadata) const = 0;

    virtual answer_metadata
    read_answer(const http::response_header<>& answer) const = 0;

    /// Returns the number of a stream event, if it has one.
    virtual std::optional<std::uint64_t>
    event_number(std::string_view event) const = 0;

    virtual text_request
    stage_call(const backend_server& server,
               const std::vector<stage_call_item>& items) const = 0;

    /// Parses the answer to a stage call. Returns an empty list if the body is
    /// invalid or does not have `items` items.
    virtual std::vector<stage_item_answer>
    read_stage_answer(std::string_view body, std::size_t items) const = 0;

    /// Returns whether a body is the answer to a stage call, of any number of
    /// items.
    virtual bool is_stage_answer(std::string_view body) const = 0;

    /// Returns the call that releases results at the server that holds them.
    virtual text_request
    release_call(const backend_server& server,
                 const std::vector<std::string>& handles) const = 0;

    /// Returns the call that queries the free result memory of a stage server.
    virtual text_request memory_query(const backend_server& server) const = 0;

    /// Parses the answer to memory_query(). Returns nothing if it is invalid.
    virtual std::optional<std::uint64_t>
    read_memory_query(std::string_view body) const = 0;

    /// Returns the address (IP:PORT) of the server that holds a result.
    virtual std::string_view result_server(std::string_view handle) const = 0;

    /// Returns the path of the load balancer's readiness check.
    virtual std::string_view readiness_path() const = 0;
};

} // namespace mangolink
