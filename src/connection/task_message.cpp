#include "connection/task_message.hpp"

#include "gateway.pb.h"

#include <algorithm>

namespace mangolink
{
namespace
{

constexpr double permille = 1000;

std::int64_t remaining_ms(boot_clock::time_point when,
                          boot_clock::time_point now)
{
    // Bounds keep durations inside the message's 32 bits.
    constexpr std::int64_t hour_ms = 3'600'000;
    const auto left =
        std::chrono::duration_cast<milliseconds>(when - now).count();
    return std::clamp<std::int64_t>(left, -hour_ms, hour_ms);
}

} // namespace

std::string encode_task(const stage_task& task, const std::string& server,
                        boot_clock::time_point now)
{
    wire::stage_task message;
    message.set_request_id(task.request_id);
    message.set_service(task.service);
    message.set_server(server);
    message.set_stage(task.stage);
    for (const auto piece : task.pieces)
    {
        message.add_pieces(piece);
    }
    message.set_piece_key(task.piece_key);
    for (const auto& input : task.inputs)
    {
        message.add_inputs(input);
    }
    message.set_due_ms(static_cast<std::int32_t>(remaining_ms(task.due, now)));
    message.set_deadline_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, remaining_ms(task.deadline, now))));
    message.set_result_bytes(task.result_bytes);
    message.set_stages_after(task.stages_after);
    return message.SerializeAsString();
}

std::optional<addressed_task> decode_task(const std::string& bytes,
                                          boot_clock::time_point now)
{
    wire::stage_task message;
    if (!message.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    addressed_task result;
    result.server = message.server();
    result.task = std::make_shared<stage_task>();
    stage_task& task = *result.task;
    task.request_id = message.request_id();
    task.service = message.service();
    task.stage = message.stage();
    task.pieces.assign(message.pieces().begin(), message.pieces().end());
    task.piece_key = message.piece_key();
    task.inputs.assign(message.inputs().begin(), message.inputs().end());
    task.due = now + milliseconds(message.due_ms());
    task.deadline = now + milliseconds(message.deadline_ms());
    task.result_bytes = message.result_bytes();
    task.stages_after = message.stages_after();
    return result;
}

std::string encode_reply(const std::vector<item_report>& reports)
{
    wire::stage_reply message;
    for (const auto& report : reports)
    {
        auto* row = message.add_pieces();
        row->set_piece(report.piece);
        row->set_end(static_cast<std::uint32_t>(report.answer.end));
        row->set_handle(report.answer.handle);
    }
    return message.SerializeAsString();
}

std::optional<std::vector<item_report>> decode_reply(const std::string& bytes)
{
    constexpr auto last =
        static_cast<std::uint32_t>(stage_item_outcome::unsent);
    wire::stage_reply message;
    if (!message.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    std::vector<item_report> reports;
    for (const auto& row : message.pieces())
    {
        const auto end = row.end() <= last
                             ? static_cast<stage_item_outcome>(row.end())
                             : stage_item_outcome::failed;
        reports.push_back({row.piece(), {end, row.handle()}});
    }
    return reports;
}

std::string encode_release(const release_message& message)
{
    wire::result_release row;
    row.set_server(message.server);
    for (const auto& handle : message.handles)
    {
        row.add_handles(handle);
    }
    return row.SerializeAsString();
}

std::optional<release_message> decode_release(const std::string& bytes)
{
    wire::result_release row;
    if (!row.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    return release_message{row.server(),
                           {row.handles().begin(), row.handles().end()}};
}

void write_load_report(const std::string& server,
                       const server_load_report& load_report,
                       wire::stage_load_report& row)
{
    row.set_server(server);
    row.set_pieces(load_report.pieces);
    row.set_busy_ms(static_cast<std::uint32_t>(load_report.busy.count()));
    row.set_slowdown_permille(
        static_cast<std::uint32_t>(load_report.slowdown * permille));
    row.set_avoid_ms(
        static_cast<std::uint32_t>(load_report.ejected_for.count()));
    row.set_free_bytes(load_report.free_bytes);
}

server_load_report read_load_report(const wire::stage_load_report& row)
{
    server_load_report load_report;
    load_report.pieces = row.pieces();
    load_report.busy = milliseconds(row.busy_ms());
    load_report.slowdown = row.slowdown_permille() / permille;
    load_report.ejected_for = milliseconds(row.avoid_ms());
    load_report.free_bytes = row.free_bytes();
    return load_report;
}

} // namespace mangolink
