#include "request/stage_queue.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// How long a server that failed a call gets none.
constexpr milliseconds ejection_time{2000};

/// How long a server that had no room gets no call: about a call's time, after
/// which one of its places is free.
constexpr milliseconds shed_ejection_time{150};

/// Weight of the newest call in the slowdown.
constexpr double slowdown_weight = 0.4;
constexpr double min_slowdown = 0.7;

/// A call that takes longer than this many times what is expected, and the
/// reserve, has failed. The reserve covers a call of another process ahead.
constexpr double timeout_factor = 2;
constexpr milliseconds timeout_reserve{350};

milliseconds scaled(milliseconds value, double factor)
{
    return std::chrono::duration_cast<milliseconds>(value * factor);
}

} // namespace

stage_queue::stage_queue(const stage_pool_parameters& parameters)
    : parameters_(parameters),
      memory_(parameters.result_memory_bytes, parameters.result_lifetime)
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
    for (const auto index : task->pieces)
    {
        queue_.push_back({task, index});
    }
}

std::vector<waiting_item> stage_queue::begin_call(boot_clock::time_point now)
{
    std::vector<waiting_item> batch;
    if (queue_.empty() || calls_ >= std::max(1U, parameters_.parallel_calls) ||
        now < ejected_until_)
    {
        return batch;
    }
    const auto own = expected_duration(
        std::min<std::size_t>(parameters_.batch_size, queue_.size()));
    const auto in_time = now + own;
    std::stable_sort(queue_.begin(), queue_.end(),
                     [in_time](const waiting_item& a, const waiting_item& b)
                     {
                         const bool a_late = a.task->due < in_time;
                         const bool b_late = b.task->due < in_time;
                         return a_late != b_late ? b_late
                                                 : a.task->due < b.task->due;
                     });
    auto free = memory_.free(now);
    std::vector<waiting_item> left;
    for (auto& row : queue_)
    {
        const auto bytes = row.task->result_bytes;
        if (batch.size() < parameters_.batch_size && bytes <= free)
        {
            free -= bytes;
            memory_.reserve(bytes);
            batch.push_back(std::move(row));
        }
        else
        {
            left.push_back(std::move(row));
        }
    }
    queue_ = std::move(left);
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
    std::vector<waiting_item> over;
    const auto least = now + expected_duration(1);
    const auto in_time = std::count_if(queue_.begin(), queue_.end(),
                                       [now](const waiting_item& row)
                                       { return row.task->due >= now; });
    const bool crowded = in_time >= parameters_.batch_size;
    std::erase_if(queue_,
                  [&](const waiting_item& row)
                  {
                      const bool hopeless = crowded && row.task->due < now &&
                                            row.task->stages_after > 0;
                      const bool drop = row.task->deadline < least ||
                                        hopeless || !row.task->wanted();
                      if (drop)
                      {
                          over.push_back(row);
                      }
                      return drop;
                  });
    return over;
}

void stage_queue::call_ended(std::size_t pieces, std::uint64_t reserved_bytes,
                             milliseconds took, call_outcome end,
                             boot_clock::time_point now)
{
    calls_ -= calls_ > 0 ? 1 : 0;
    busy_until_ = now;
    memory_.cancel_reservation(reserved_bytes);
    if (end != call_outcome::answered)
    {
        ejected_until_ = now + (end == call_outcome::shed ? shed_ejection_time
                                                          : ejection_time);
        return;
    }
    const double wanted =
        std::max(1.0, static_cast<double>(nominal_duration(pieces).count()));
    const double ratio = static_cast<double>(took.count()) / wanted;
    slowdown_ = std::max(min_slowdown,
                         slowdown_ + slowdown_weight * (ratio - slowdown_));
}

milliseconds stage_queue::call_timeout(std::size_t pieces) const
{
    return scaled(expected_duration(pieces), timeout_factor) + timeout_reserve;
}

server_load_report stage_queue::load_report(boot_clock::time_point now)
{
    using std::chrono::duration_cast;
    server_load_report result;
    result.pieces = static_cast<std::uint32_t>(queue_.size());
    result.busy = std::max(milliseconds(0),
                           duration_cast<milliseconds>(busy_until_ - now));
    result.slowdown = slowdown_;
    result.ejected_for = std::max(
        milliseconds(0), duration_cast<milliseconds>(ejected_until_ - now));
    result.free_bytes = memory_.free(now);
    return result;
}

milliseconds stage_queue::nominal_duration(std::size_t pieces) const
{
    return std::chrono::duration_cast<milliseconds>(
        parameters_.call_time +
        parameters_.item_time * static_cast<std::int64_t>(pieces));
}

milliseconds stage_queue::expected_duration(std::size_t pieces) const
{
    return scaled(nominal_duration(pieces), slowdown_);
}

} // namespace mangolink
