#pragma once

#include "base/clock.hpp"
#include "connection/http_client.hpp"
#include "version/instance_entry.hpp"
#include "version/reader_schedule.hpp"

#include <absl/random/random.h>
#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mangolink
{

class command_queue;
class configuration_store;
struct instance_settings;

/// Addresses of the platform's services, and timeouts of the calls.
struct platform_reader_settings final
{
    std::string configuration_service;   ///< host:port; empty: not read
    std::string instance_list;           ///< host:port; empty: not read
    milliseconds long_poll_time{10'000}; ///< of one watch call
    milliseconds list_interval{1000};
    milliseconds request_timeout{2000};
    reader_schedule_settings schedule;

    /// Returns the settings of a process with these instance settings.
    static platform_reader_settings of(const instance_settings& instance);
};

/// Callbacks of the reader, called on its own threads.
struct platform_reader_events final
{
    std::function<std::uint64_t()> current_number;
    std::function<void(std::string)> on_snapshot; ///< a snapshot document
    std::function<void(std::string)> on_patch;    ///< one patch document
    std::function<void(std::vector<instance_entry>)> on_instances;
};

/// Returns callbacks that apply documents to the store on the event loop of the
/// queue, and call `changed` there after the configuration has changed.
platform_reader_events
store_update_events(command_queue& commands, configuration_store& store,
                    const std::function<void()>& changed);

/// Reads the configuration service and the instance list, each on a thread.
class platform_reader final
{
public:
    platform_reader(platform_reader_settings settings,
                    platform_reader_events events);

    /// Stops and joins both threads.
    ~platform_reader();

    platform_reader(const platform_reader&) = delete;
    platform_reader& operator=(const platform_reader&) = delete;

private:
    void read_configuration();
    read_outcome read_configuration_once(bool watch);
    /// Dispatches the documents; returns whether one is newer than `number`.
    bool dispatch_documents(const nlohmann::json& response,
                            std::uint64_t number);
    void read_instances();
    bool wait_until(boot_clock::time_point when);

    platform_reader_settings settings_;
    platform_reader_events events_;
    absl::BitGen random_;
    std::mutex schedule_mutex_;
    reader_schedule schedule_;
    http_client configuration_client_;
    http_client list_client_;
    std::atomic<bool> stopping_{false};
    std::thread configuration_thread_;
    std::thread list_thread_;
};

} // namespace mangolink
