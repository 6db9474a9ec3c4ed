#pragma once

#include "base/clock.hpp"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace mangolink
{

/// Monotonically increasing counter. Thread-safe.
class event_counter final
{
public:
    void add(std::uint64_t count = 1)
    {
        value_.fetch_add(count, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Distribution of durations from 100 microseconds to 100 seconds on a
/// logarithmic axis. Thread-safe.
class duration_histogram final
{
public:
    duration_histogram();

    void add(microseconds value);

    /// Appends the lines of the text exposition format.
    void write(const std::string& name, const std::string& labels,
               std::string& page) const;

private:
    using axis_type =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage_type = boost::histogram::dense_storage<
        boost::histogram::accumulators::thread_safe<std::uint64_t>>;

    boost::histogram::histogram<std::tuple<axis_type>, storage_type> bins_;
    std::atomic<std::uint64_t> sum_us_{0};
};

/// Returns a label of a metric, whose value may be any text.
std::string metric_label(std::string_view name, std::string_view value);

/// All metrics of a process, exported as one text page.
///
/// References stay valid for the lifetime of the registry. A lookup takes a
/// lock, so hot paths should keep the reference.
class metrics_registry final
{
public:
    event_counter& counter(const std::string& name,
                           const std::string& labels = {});
    duration_histogram& histogram(const std::string& name,
                                  const std::string& labels = {});

    /// Adds a gauge whose value is read when the page is generated.
    void gauge(const std::string& name, std::function<double()> read);

    /// Returns the page in the text exposition format 0.0.4.
    std::string page() const;

private:
    struct series final
    {
        std::string name;
        std::string labels;

        friend auto operator<=>(const series&, const series&) = default;
    };

    mutable std::mutex mutex_;
    std::map<series, std::unique_ptr<event_counter>> counters_;
    std::map<series, std::unique_ptr<duration_histogram>> histograms_;
    std::map<std::string, std::function<double()>> gauges_;
};

} // namespace mangolink
