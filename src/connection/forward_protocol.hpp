#pragma once

#include "connection/asio_types.hpp"
#include "process/backend_server.hpp"
#include "request/stage_item_outcome.hpp"
#include "request/stage_plan.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// What the headers of a caller's request say.
struct request_metadata final
{
    std::string id;                        ///< of this attempt of the caller
    std::optional<milliseconds> time_left; ///< how long the caller waits
    std::string api_key;
    std::uint64_t affinity = 0; ///< hash of the shared prompt parts; 0: none
    std::uint32_t shared_tokens = 0; ///< length of the shared prompt parts
    std::vector<std::uint32_t> item_counts; ///< by stage
    std::string item_key;         ///< what stages without inputs work on
    std::uint64_t last_event = 0; ///< the caller has a stream up to here
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< at most
};

/// What the system adds to a request before a backend server gets it.
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
};

/// What the headers of a backend server's answer say.
struct answer_metadata final
{
    std::string request_id;
    bool proven_not_run = false;
    bool signed_by_server = false;
    bool body_is_encoded = false; ///< the body is not the server's own
    std::optional<server_load> load;
    std::optional<milliseconds> keep_alive;
};

/// Piece in a call of a stage pool.
struct stage_call_item final
{
    std::string request_id;
    stage_item index;
    milliseconds time_left{0};
    std::string item_key;            ///< used when there are no inputs
    std::vector<std::string> inputs; ///< results of earlier stages
};

/// Translates between the project's types and what callers and backend
/// servers of a platform speak. Holds no state.
class forward_protocol
{
public:
    virtual ~forward_protocol() = default;

    /// Reads a caller's headers; throws std::invalid_argument when they make
    /// no sense.
    virtual request_metadata
    read_request(const http::fields& headers) const = 0;

    /// Removes what only the system may set, and adds the facts.
    virtual void write_request(http::fields& headers,
                               const backend_metadata& metadata) const = 0;

    virtual answer_metadata
    read_answer(const http::response_header<>& answer) const = 0;

    /// Returns the event number of a stream's event, if it has one.
    virtual std::optional<std::uint64_t>
    event_number(std::string_view event) const = 0;

    virtual text_request
    stage_call(const backend_server& server,
               const std::vector<stage_call_item>& items) const = 0;

    /// Reads the answer to a stage call; a body that can't be read, or has
    /// another number of pieces, gives an empty list.
    virtual std::vector<stage_item_answer>
    read_stage_answer(std::string_view body, std::size_t items) const = 0;

    /// Returns the call that gives up results at the server that keeps them.
    virtual text_request
    release_call(const backend_server& server,
                 const std::vector<std::string>& handles) const = 0;

    /// Returns the call that asks a stage server for its free room.
    virtual text_request memory_query(const backend_server& server) const = 0;

    /// Reads its answer; nothing when it can't be read.
    virtual std::optional<std::uint64_t>
    read_memory_query(std::string_view body) const = 0;

    /// Returns the address (IP:PORT) of the server that keeps a result.
    virtual std::string_view result_server(std::string_view handle) const = 0;

    /// Returns the path under which the balancer asks for readiness.
    virtual std::string_view readiness_path() const = 0;
};

} // namespace mangolink
