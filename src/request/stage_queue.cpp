#include "request/stage_queue.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// How long a server that failed a call gets none.
constexpr milliseconds avoid_time{2000};

/// How long a server that had no room gets no call: about a call's time, after
/// which one of its places is free.
constexpr milliseconds shed_avoid_time{150};

/// Weight of the newest call in the slowdown.
constexpr double slowdown_weight = 0.4;
constexpr double least_slowdown = 0.7;

/// A call that takes longer than this many times what is expected, and the
/// reserve, has failed. The reserve covers a call of another process ahead.
constexpr double limit_factor = 2;
constexpr milliseconds limit_reserve{350};

milliseconds scaled(milliseconds value, double factor)
{
    return std::chrono::duration_cast<milliseconds>(value * factor);
}

} // namespace

stage_queue::stage_queue(const stage_pool_parameters& figures)
    : figures_(figures),
      room_(figures.result_memory_bytes, figures.result_lifetime)
{
}

void stage_queue::configure(const stage_pool_parameters& figures)
{
    figures_ = figures;
    room_.configure(figures.result_memory_bytes, figures.result_lifetime);
}

void stage_queue::add(const std::shared_ptr<const stage_order>& order)
{
    for (const auto piece : order->pieces)
    {
        queue_.push_back({order, piece});
    }
}

std::vector<waiting_piece> stage_queue::begin_call(boot_clock::time_point now)
{
    std::vector<waiting_piece> batch;
    if (queue_.empty() || calls_ >= std::max(1U, figures_.parallel_calls) ||
        now < avoid_until_)
    {
        return batch;
    }
    const auto own =
        expected(std::min<std::size_t>(figures_.batch_size, queue_.size()));
    const auto in_time = now + own;
    std::stable_sort(queue_.begin(), queue_.end(),
                     [in_time](const waiting_piece& a, const waiting_piece& b)
                     {
                         const bool a_late = a.order->due < in_time;
                         const bool b_late = b.order->due < in_time;
                         return a_late != b_late ? b_late
                                                 : a.order->due < b.order->due;
                     });
    auto free = room_.free(now);
    std::vector<waiting_piece> left;
    for (auto& row : queue_)
    {
        const auto bytes = row.order->result_bytes;
        if (batch.size() < figures_.batch_size && bytes <= free)
        {
            free -= bytes;
            room_.reserve(bytes);
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
        busy_until_ = now + expected(batch.size());
    }
    return batch;
}

std::vector<waiting_piece> stage_queue::take_expired(boot_clock::time_point now)
{
    std::vector<waiting_piece> over;
    const auto least = now + expected(1);
    const auto in_time = std::count_if(queue_.begin(), queue_.end(),
                                       [now](const waiting_piece& row)
                                       { return row.order->due >= now; });
    const bool crowded = in_time >= figures_.batch_size;
    std::erase_if(queue_,
                  [&](const waiting_piece& row)
                  {
                      const bool hopeless = crowded && row.order->due < now &&
                                            row.order->stages_after > 0;
                      const bool drop = row.order->deadline < least ||
                                        hopeless || !row.order->wanted();
                      if (drop)
                      {
                          over.push_back(row);
                      }
                      return drop;
                  });
    return over;
}

void stage_queue::call_ended(std::size_t pieces, std::uint64_t reserved_bytes,
                             milliseconds took, call_end end,
                             boot_clock::time_point now)
{
    calls_ -= calls_ > 0 ? 1 : 0;
    busy_until_ = now;
    room_.unreserve(reserved_bytes);
    if (end != call_end::answered)
    {
        avoid_until_ =
            now + (end == call_end::shed ? shed_avoid_time : avoid_time);
        return;
    }
    const double wanted =
        std::max(1.0, static_cast<double>(nominal(pieces).count()));
    const double ratio = static_cast<double>(took.count()) / wanted;
    slowdown_ = std::max(least_slowdown,
                         slowdown_ + slowdown_weight * (ratio - slowdown_));
}

milliseconds stage_queue::call_limit(std::size_t pieces) const
{
    return scaled(expected(pieces), limit_factor) + limit_reserve;
}

server_outlook stage_queue::outlook(boot_clock::time_point now)
{
    using std::chrono::duration_cast;
    server_outlook result;
    result.pieces = static_cast<std::uint32_t>(queue_.size());
    result.busy = std::max(milliseconds(0),
                           duration_cast<milliseconds>(busy_until_ - now));
    result.slowdown = slowdown_;
    result.avoid = std::max(milliseconds(0),
                            duration_cast<milliseconds>(avoid_until_ - now));
    result.free_bytes = room_.free(now);
    return result;
}

milliseconds stage_queue::nominal(std::size_t pieces) const
{
    return std::chrono::duration_cast<milliseconds>(
        figures_.call_time +
        figures_.item_time * static_cast<std::int64_t>(pieces));
}

milliseconds stage_queue::expected(std::size_t pieces) const
{
    return scaled(nominal(pieces), slowdown_);
}

} // namespace mangolink
