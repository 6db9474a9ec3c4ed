#pragma once

#include "base/clock.hpp"
#include "request/stage_queue.hpp"
#include "request/stage_task.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

namespace wire
{
class stage_load_report;
}

/// Task message: a task and the server that should execute it.
struct addressed_task final
{
    std::string server;
    std::shared_ptr<stage_task> task; ///< without a client
};

/// Outcome of one item in the reply to a task message.
struct item_report final
{
    std::uint32_t index = 0;
    stage_item_answer answer;
};

/// Results to release at a server.
struct release_message final
{
    std::string server;
    std::vector<std::string> handles;
};

std::string encode_task(const stage_task& task, const std::string& server,
                        boot_clock::time_point now);

/// Returns nothing if the bytes are not a valid task message.
std::optional<addressed_task> decode_task(const std::string& bytes,
                                          boot_clock::time_point now);

std::string encode_reply(const std::vector<item_report>& reports);

/// Returns nothing if the bytes are not a valid reply.
std::optional<std::vector<item_report>> decode_reply(const std::string& bytes);

std::string encode_release(const release_message& message);
std::optional<release_message> decode_release(const std::string& bytes);

void write_load_report(const std::string& server,
                       const server_load_report& load_report,
                       wire::stage_load_report& message);
server_load_report read_load_report(const wire::stage_load_report& message);

} // namespace mangolink
