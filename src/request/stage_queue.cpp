#include "request/stage_queue.hpp"

#include <algorithm>
#include <iterator>

namespace mangolink
{
namespace
{

/// How long a server receives no calls after a failed call.
constexpr milliseconds ejection_time{2000};

/// How long a server receives no calls after it shed one: about the duration of
/// a call, after which one of its call slots is free.
constexpr milliseconds shed_ejection_time{150};

/// Weight of the newest call in the moving average of the slowdown.
constexpr double slowdown_weight = 0.4;
constexpr double min_slowdown = 0.7;

/// A call times out after this multiple of its expected duration plus the
/// reserve. The reserve covers a call of another process that the server runs
/// first.
constexpr double timeout_factor = 2;
constexpr milliseconds timeout_reserve{350};

milliseconds scaled(milliseconds value, double factor)
{
    return std::chrono::duration_cast<milliseconds>(value * factor);
}

} // namespace

stage_queue::stage_queue(const stage_pool_parameters& parameters,
                         std::shared_ptr<stage_backlog> backlog)
    : parameters_(parameters),
      memory_(parameters.result_memory_bytes, parameters.result_lifetime),
      backlog_(std::move(backlog))
{
}

void stage_queue::configure(const stage_pool_parameters& parameters)
{
    parameters_ = parameters;
    memory_.configure(parameters.result_memory_bytes,
                      parameters.result_lifetime);
}

void stage_queue::add(const std::shared_ptr<const stage_task>& task)
{
    for (const auto index : task->items)
    {
        backlog_->items.push_back({task, index});
    }
}

bool stage_queue::can_begin_call(boot_clock::time_point now) const
{
    return calls_ < std::max(1U, parameters_.parallel_calls) &&
           now >= ejected_until_;
}

std::vector<waiting_item> stage_queue::begin_call(boot_clock::time_point now)
{
    std::vector<waiting_item> batch;
    auto& waiting = backlog_->items;
    if (waiting.empty() || !can_begin_call(now))
    {
        return batch;
    }
    const auto duration = expected_duration(
        std::min<std::size_t>(parameters_.batch_size, waiting.size()));
    const auto expected_end = now + duration;
    std::stable_sort(
        waiting.begin(), waiting.end(),
        [expected_end](const waiting_item& a, const waiting_item& b)
        {
            const bool a_late = a.task->due < expected_end;
            const bool b_late = b.task->due < expected_end;
            return a_late != b_late ? b_late : a.task->due < b.task->due;
        });
    auto free = memory_.free(now);
    std::vector<waiting_item> remaining;
    for (auto& item : waiting)
    {
        const auto bytes = item.task->result_bytes;
        if (batch.size() < parameters_.batch_size && bytes <= free)
        {
            free -= bytes;
            memory_.reserve(bytes);
            batch.push_back(std::move(item));
        }
        else
        {
            remaining.push_back(std::move(item));
        }
    }
    waiting = std::move(remaining);
    if (!batch.empty())
    {
        ++calls_;
        busy_until_ = now + expected_duration(batch.size());
    }
    return batch;
}

std::vector<waiting_item>
stage_queue::remove_expired(boot_clock::time_point now)
{
    std::vector<waiting_item> expired;
    const auto earliest_end = now + expected_duration(1);
    auto& waiting = backlog_->items;
    const auto in_time_count = static_cast<std::size_t>(std::count_if(
        waiting.begin(), waiting.end(),
        [now](const waiting_item& item) { return item.task->due >= now; }));
    const bool full_batch_in_time =
        in_time_count >= parameters_.batch_size * server_count();
    std::erase_if(waiting,
                  [&](const waiting_item& item)
                  {
                      const bool yields = full_batch_in_time &&
                                          item.task->due < now &&
                                          item.task->stages_after > 0;
                      const bool drop = item.task->deadline < earliest_end ||
                                        yields || !item.task->wanted();
                      if (drop)
                      {
                          expired.push_back(item);
                      }
                      return drop;
                  });
    if (backlog_->limits_late_items)
    {
        remove_late_excess(now, expired);
    }
    return expired;
}

void stage_queue::remove_late_excess(boot_clock::time_point now,
                                     std::vector<waiting_item>& removed)
{
    auto& waiting = backlog_->items;
    const std::size_t places = parameters_.batch_size * server_count();
    if (waiting.size() <= places)
    {
        return;
    }
    const auto late_begin = std::stable_partition(
        waiting.begin(), waiting.end(),
        [now](const waiting_item& item) { return item.task->due >= now; });
    const auto in_time = static_cast<std::size_t>(late_begin - waiting.begin());
    // A result is worth the same at any time between due time and deadline, so
    // the ones with the least work left are kept.
    std::stable_sort(late_begin, waiting.end(),
                     [](const waiting_item& a, const waiting_item& b)
                     {
                         return a.task->stages_after != b.task->stages_after
                                    ? a.task->stages_after <
                                          b.task->stages_after
                                    : a.task->due < b.task->due;
                     });
    const auto keep = std::max(in_time, places);
    removed.insert(removed.end(),
                   waiting.begin() + static_cast<std::ptrdiff_t>(keep),
                   waiting.end());
    waiting.resize(keep);
}

void stage_queue::call_ended(std::size_t item_count,
                             std::uint64_t reserved_bytes, milliseconds took,
                             call_outcome outcome, boot_clock::time_point now)
{
    calls_ -= calls_ > 0 ? 1 : 0;
    busy_until_ = now;
    memory_.cancel_reservation(reserved_bytes);
    if (outcome == call_outcome::silent)
    {
        return;
    }
    if (outcome != call_outcome::answered)
    {
        ejected_until_ =
            now + (outcome == call_outcome::shed ? shed_ejection_time
                                                 : ejection_time);
        return;
    }
    if (took > call_timeout(item_count))
    {
        return; // the server was silent, not slow
    }
    const double nominal_ms = std::max(
        1.0, static_cast<double>(nominal_duration(item_count).count()));
    const double ratio = static_cast<double>(took.count()) / nominal_ms;
    slowdown_ = std::max(min_slowdown,
                         slowdown_ + slowdown_weight * (ratio - slowdown_));
}

milliseconds stage_queue::call_timeout(std::size_t item_count) const
{
    return scaled(expected_duration(item_count), timeout_factor) +
           timeout_reserve;
}

server_load_report stage_queue::load_report(boot_clock::time_point now)
{
    using std::chrono::duration_cast;
    server_load_report report;
    report.item_count = static_cast<std::uint32_t>(
        (backlog_->items.size() + server_count() - 1) / server_count());
    report.busy = std::max(milliseconds(0),
                           duration_cast<milliseconds>(busy_until_ - now));
    report.slowdown = slowdown_;
    report.ejected_for = std::max(
        milliseconds(0), duration_cast<milliseconds>(ejected_until_ - now));
    report.free_bytes = memory_.free(now);
    report.work_factor = work_factor_;
    return report;
}

void stage_queue::join_backlog(std::shared_ptr<stage_backlog> backlog)
{
    if (backlog == backlog_)
    {
        return;
    }
    auto items = remove_all();
    backlog_ = std::move(backlog);
    std::move(items.begin(), items.end(), std::back_inserter(backlog_->items));
}

std::size_t stage_queue::server_count() const
{
    return static_cast<std::size_t>(backlog_.use_count());
}

milliseconds stage_queue::nominal_duration(std::size_t item_count) const
{
    return std::chrono::duration_cast<milliseconds>(
        parameters_.call_time +
        parameters_.item_time * static_cast<std::int64_t>(item_count));
}

milliseconds stage_queue::expected_duration(std::size_t item_count) const
{
    return scaled(nominal_duration(item_count), slowdown_);
}

} // namespace mangolink
