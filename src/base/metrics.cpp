#include "base/metrics.hpp"

#include <absl/strings/str_format.h>

namespace mangolink
{
namespace
{

constexpr unsigned bin_count = 48;
constexpr double min_duration_s = 1e-4;
constexpr double max_duration_s = 100;

std::string format_labels(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

std::string metric_label(std::string_view name, std::string_view value)
{
    std::string label(name);
    label += "=\"";
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            label += '\\';
        }
        label += c == '\n' ? "\\n" : std::string(1, c);
    }
    return label + '"';
}

duration_histogram::duration_histogram()
    : bins_(boost::histogram::make_histogram_with(
          storage_type(), axis_type(bin_count, min_duration_s, max_duration_s)))
{
}

void duration_histogram::add(microseconds value)
{
    bins_(std::chrono::duration<double>(value).count());
    sum_us_.fetch_add(to_wire(value), std::memory_order_relaxed);
}

void duration_histogram::write(const std::string& name,
                               const std::string& labels,
                               std::string& page) const
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t total = bins_.at(-1);
    const auto& axis = bins_.axis();
    for (int i = 0; i < axis.size(); ++i)
    {
        total += bins_.at(i);
        absl::StrAppendFormat(&page, "%s_bucket{%sle=\"%.6g\"} %d\n", name,
                              prefix, axis.bin(i).upper(), total);
    }
    total += bins_.at(axis.size());
    absl::StrAppendFormat(&page, "%s_bucket{%sle=\"+Inf\"} %d\n", name, prefix,
                          total);
    absl::StrAppendFormat(&page, "%s_sum%s %.6f\n", name, format_labels(labels),
                          static_cast<double>(sum_us_.load()) / 1e6);
    absl::StrAppendFormat(&page, "%s_count%s %d\n", name, format_labels(labels),
                          total);
}

event_counter& metrics_registry::counter(const std::string& name,
                                         const std::string& labels)
{
    const std::lock_guard lock(mutex_);
    auto& slot = counters_[{name, labels}];
    if (!slot)
    {
        slot = std::make_unique<event_counter>();
    }
    return *slot;
}

duration_histogram& metrics_registry::histogram(const std::string& name,
                                                const std::string& labels)
{
    const std::lock_guard lock(mutex_);
    auto& slot = histograms_[{name, labels}];
    if (!slot)
    {
        slot = std::make_unique<duration_histogram>();
    }
    return *slot;
}

void metrics_registry::gauge(const std::string& name,
                             std::function<double()> read)
{
    const std::lock_guard lock(mutex_);
    gauges_[name] = std::move(read);
}

std::string metrics_registry::page() const
{
    const std::lock_guard lock(mutex_);
    std::string page;
    std::string previous;
    for (const auto& [key, value] : counters_)
    {
        if (key.name != previous)
        {
            page += "# TYPE " + key.name + " counter\n";
            previous = key.name;
        }
        absl::StrAppendFormat(&page, "%s%s %d\n", key.name,
                              format_labels(key.labels), value->value());
    }
    for (const auto& [key, value] : histograms_)
    {
        if (key.name != previous)
        {
            page += "# TYPE " + key.name + " histogram\n";
            previous = key.name;
        }
        value->write(key.name, key.labels, page);
    }
    for (const auto& [name, read] : gauges_)
    {
        absl::StrAppendFormat(&page, "# TYPE %s gauge\n%s %g\n", name, name,
                              read());
    }
    return page;
}

} // namespace mangolink
