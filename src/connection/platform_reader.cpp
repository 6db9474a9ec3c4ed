#include "connection/platform_reader.hpp"

#include "base/instance_settings.hpp"
#include "base/log.hpp"
#include "connection/command_queue.hpp"
#include "version/configuration_store.hpp"

#include <nlohmann/json.hpp>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr milliseconds stop_poll_interval{20};
constexpr std::uint32_t http_ok = 200;

/// Returns a text field, which may be missing, or nothing if it is no text.
std::optional<std::string> text_field(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
    {
        return "";
    }
    return found->is_string() ? std::optional(found->get<std::string>())
                              : std::nullopt;
}

std::optional<instance_entry> parse_instance(const json& item)
{
    const auto name = text_field(item, "name");
    const auto zone = text_field(item, "zone");
    const auto state = text_field(item, "state");
    if (!item.is_object() || !name || name->empty() || !zone || !state)
    {
        return std::nullopt;
    }
    return instance_entry{*name, *zone, *state == "leaving"};
}

/// Returns the instances of a list without entries that name none, or nothing
/// if it is no list.
std::optional<std::vector<instance_entry>>
parse_instances(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("instances") ||
        !parsed["instances"].is_array())
    {
        return std::nullopt;
    }
    std::vector<instance_entry> result;
    for (const auto& item : parsed["instances"])
    {
        if (auto instance = parse_instance(item))
        {
            result.push_back(std::move(*instance));
        }
        else
        {
            log_detail("instances", "Ignored an entry that names no instance.",
                       {});
        }
    }
    return result;
}

/// Returns the number of a document, or 0 if it has none.
std::uint64_t document_number(const json& document)
{
    const bool readable = document.is_object() && document.contains("number") &&
                          document["number"].is_number_unsigned();
    return readable ? document["number"].get<std::uint64_t>() : 0;
}

} // namespace

platform_reader_settings
platform_reader_settings::of(const instance_settings& instance)
{
    platform_reader_settings result;
    result.configuration_service = instance.configuration_service;
    result.instance_list = instance.instance_list;
    result.schedule.instance = instance.name;
    result.schedule.zone = instance.zone;
    return result;
}

platform_reader_events store_update_events(command_queue& commands,
                                           configuration_store& store,
                                           const std::function<void()>& changed)
{
    using accept_function =
        accept_result (configuration_store::*)(std::string_view);
    const auto make_handler =
        [&commands, &store, changed](accept_function accept)
    {
        return [&commands, &store, changed, accept](std::string document)
        {
            commands.push(
                [&store, changed, accept, document = std::move(document)]
                {
                    if ((store.*accept)(document).changed)
                    {
                        changed();
                    }
                });
        };
    };
    platform_reader_events events;
    events.current_number = [&store] { return store.position().number; };
    events.on_snapshot = make_handler(&configuration_store::accept_snapshot);
    events.on_patch = make_handler(&configuration_store::accept_patch);
    return events;
}

platform_reader::platform_reader(platform_reader_settings settings,
                                 platform_reader_events events)
    : settings_(std::move(settings)), events_(std::move(events)),
      schedule_(settings_.schedule, random_)
{
    schedule_.begin(boot_clock::now());
    if (!settings_.configuration_service.empty())
    {
        configuration_thread_ = std::thread([this] { read_configuration(); });
    }
    if (!settings_.instance_list.empty())
    {
        list_thread_ = std::thread([this] { read_instances(); });
    }
}

platform_reader::~platform_reader()
{
    stopping_ = true;
    configuration_client_.abort();
    list_client_.abort();
    if (configuration_thread_.joinable())
    {
        configuration_thread_.join();
    }
    if (list_thread_.joinable())
    {
        list_thread_.join();
    }
}

void platform_reader::read_configuration()
{
    while (!stopping_)
    {
        boot_clock::time_point next;
        bool watch = false;
        {
            const std::lock_guard lock(schedule_mutex_);
            next = schedule_.next_read();
            watch = schedule_.elected();
        }
        if (!wait_until(next))
        {
            return;
        }
        const read_outcome end = read_configuration_once(watch);
        const std::lock_guard lock(schedule_mutex_);
        schedule_.record_read(end, boot_clock::now());
    }
}

read_outcome platform_reader::read_configuration_once(bool watch)
{
    const std::uint64_t number = events_.current_number();
    const auto wait =
        watch && number > 0 ? settings_.long_poll_time : milliseconds(0);
    http_call call;
    call.url = "http://" + settings_.configuration_service +
               "/v1/configuration/changes?after=" + std::to_string(number) +
               "&wait_ms=" + std::to_string(wait.count());
    call.limit = wait + settings_.request_timeout;
    const auto begin = boot_clock::now();
    const http_result result = configuration_client_.call(call);
    const json parsed = json::parse(result.body, nullptr, false);
    if (result.status != http_ok || !parsed.is_object())
    {
        log_detail("configuration", "Configuration request failed.",
                   {{"reason", result.error}});
        return read_outcome::failed;
    }
    if (dispatch_documents(parsed, number))
    {
        return read_outcome::newer_value;
    }
    const bool timed_out =
        wait > milliseconds(0) && boot_clock::now() - begin >= wait / 2;
    return timed_out ? read_outcome::timed_out : read_outcome::stale;
}

bool platform_reader::dispatch_documents(const json& response,
                                         std::uint64_t number)
{
    bool newer = false;
    if (response.contains("whole"))
    {
        newer = document_number(response["whole"]) > number;
        events_.on_snapshot(response["whole"].dump());
    }
    if (response.contains("documents") && response["documents"].is_array())
    {
        for (const auto& document : response["documents"])
        {
            newer = newer || document_number(document) > number;
            events_.on_patch(document.dump());
        }
    }
    return newer;
}

void platform_reader::read_instances()
{
    while (!stopping_)
    {
        http_call call;
        call.url = "http://" + settings_.instance_list + "/v1/instances";
        call.limit = settings_.request_timeout;
        const http_result result = list_client_.call(call);
        auto instances = result.status == http_ok ? parse_instances(result.body)
                                                  : std::nullopt;
        if (instances)
        {
            {
                const std::lock_guard lock(schedule_mutex_);
                schedule_.update_instances(*instances);
            }
            events_.on_instances(std::move(*instances));
        }
        else
        {
            log_detail("instances", "Instance list request failed.",
                       {{"reason", result.status == http_ok ? "not a list"
                                                            : result.error}});
        }
        if (!wait_until(boot_clock::now() + settings_.list_interval))
        {
            return;
        }
    }
}

bool platform_reader::wait_until(boot_clock::time_point when)
{
    while (!stopping_ && boot_clock::now() < when)
    {
        const auto remaining = when - boot_clock::now();
        std::this_thread::sleep_for(
            std::min<boot_clock::duration>(remaining, stop_poll_interval));
    }
    return !stopping_;
}

} // namespace mangolink
