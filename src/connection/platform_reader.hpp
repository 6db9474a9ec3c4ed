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

/// Where the platform's services are.
struct platform_reader_settings final
{
    std::string configuration_service;   ///< host:port; empty: not read
    std::string instance_list;           ///< host:port; empty: not read
    milliseconds long_poll_time{10'000}; ///< one waiting watch
    milliseconds list_interval{1000};
    milliseconds request_timeout{2000};
    reader_schedule_settings schedule;

    /// Returns the settings for a process with these instance settings.
    static platform_reader_settings of(const instance_settings& instance);
};

/// What the reader reports, on its own threads.
struct platform_reader_events final
{
    std::function<std::uint64_t()> current_number;
    std::function<void(std::string)> whole; ///< a whole-value document
    std::function<void(std::string)> patch; ///< one patch document
    std::function<void(std::vector<instance_entry>)> instances;
};

/// Returns events that fold documents into the store on the loop of the
/// queue, and call `changed` there when a newer value is in force.
platform_reader_events
store_update_events(command_queue& commands, configuration_store& store,
                    const std::function<void()>& changed);

/// Reads the configuration service and the instance list on two threads.
class platform_reader final
{
public:
    platform_reader(platform_reader_settings settings,
                    platform_reader_events events);

    /// Ends both threads.
    ~platform_reader();

    platform_reader(const platform_reader&) = delete;
    platform_reader& operator=(const platform_reader&) = delete;

private:
    void read_configuration();
    read_outcome read_configuration_once(bool watch);
    /// Passes documents on; returns whether one is newer than the number.
    bool dispatch_documents(const nlohmann::json& answer, std::uint64_t number);
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
