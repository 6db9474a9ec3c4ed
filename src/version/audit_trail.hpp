#pragma once

#include "version/configuration.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace mangolink
{

/// A change to be recorded in the audit trail.
struct audit_event final
{
    std::string action; ///< such as "configuration_accepted"
    configuration_position position;
    std::string author;
    std::string detail;
};

/// An event and the wall-clock time at which it was recorded.
struct audit_record final
{
    std::chrono::system_clock::time_point time;
    audit_event event;
};

/// Keeps the latest changes in memory and writes each of them to the log.
///
/// Thread-safe. Instances have no disks, so the log is the persistent copy.
class audit_trail final
{
public:
    /// Adds an event and logs it with the prefix "audit".
    void record(audit_event event);

    /// Returns the records in memory, oldest first.
    std::vector<audit_record> records() const;

private:
    mutable std::mutex mutex_;
    std::deque<audit_record> records_;
};

} // namespace mangolink
