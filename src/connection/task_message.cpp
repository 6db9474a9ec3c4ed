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
    // Clamps the duration to the 32-bit fields of the message.
    constexpr std::int64_t hour_ms = 3'600'000;
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(when - now).count();
    return std::clamp<std::int64_t>(remaining, -hour_ms, hour_ms);
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
    for (const auto item : task.items)
    {
        message.add_pieces(item);
    }
    message.set_piece_key(task.item_key);
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
    task.items.assign(message.pieces().begin(), message.pieces().end());
    task.item_key = message.piece_key();
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
        auto* entry = message.add_pieces();
        entry->set_piece(report.index);
        entry->set_end(static_cast<std::uint32_t>(report.answer.end));
        entry->set_handle(report.answer.handle);
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
    for (const auto& entry : message.pieces())
    {
        const auto end = entry.end() <= last
                             ? static_cast<stage_item_outcome>(entry.end())
                             : stage_item_outcome::failed;
        reports.push_back({entry.piece(), {end, entry.handle()}});
    }
    return reports;
}

std::string encode_release(const release_message& message)
{
    wire::result_release wire_message;
    wire_message.set_server(message.server);
    for (const auto& handle : message.handles)
    {
        wire_message.add_handles(handle);
    }
    return wire_message.SerializeAsString();
}

std::optional<release_message> decode_release(const std::string& bytes)
{
    wire::result_release wire_message;
    if (!wire_message.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    return release_message{
        wire_message.server(),
        {wire_message.handles().begin(), wire_message.handles().end()}};
}

void write_load_report(const std::string& server,
                       const server_load_report& load_report,
                       wire::stage_load_report& message)
{
    message.set_server(server);
    message.set_pieces(load_report.item_count);
    message.set_busy_ms(static_cast<std::uint32_t>(load_report.busy.count()));
    message.set_slowdown_permille(
        static_cast<std::uint32_t>(load_report.slowdown * permille));
    message.set_avoid_ms(
        static_cast<std::uint32_t>(load_report.ejected_for.count()));
    message.set_free_bytes(load_report.free_bytes);
    if (load_report.work_factor)
    {
        message.set_work_permille(
            static_cast<std::uint32_t>(*load_report.work_factor * permille));
    }
}

server_load_report read_load_report(const wire::stage_load_report& message)
{
    server_load_report load_report;
    load_report.item_count = message.pieces();
    load_report.busy = milliseconds(message.busy_ms());
    load_report.slowdown = message.slowdown_permille() / permille;
    load_report.ejected_for = milliseconds(message.avoid_ms());
    load_report.free_bytes = message.free_bytes();
    if (message.has_work_permille())
    {
        load_report.work_factor = message.work_permille() / permille;
    }
    return load_report;
}

} // namespace mangolink
