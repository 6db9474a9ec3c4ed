#include "request/stage_pool_scheduler.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace mangolink
{
namespace
{

/// A reported load is ignored after about the length of a full call.
constexpr milliseconds load_lifetime{300};

/// How long a server that failed a call is avoided.
constexpr milliseconds avoid_time{2000};

/// Weight of the newest call in a server's slowness.
constexpr double slowness_weight = 0.4;

/// A call that takes this many times its expected time has failed.
constexpr double limit_factor = 4;
constexpr milliseconds limit_reserve{400};

/// What a call outside the zone or region costs besides its latency, as the
/// time that a caller would wait instead.
constexpr double zone_cost_ms = 60;
constexpr double region_cost_ms = 140;

/// Part of a call's time that a piece waits before a second call pays.
constexpr double patience = 0.8;

} // namespace

stage_pool_scheduler::stage_pool_scheduler(stage_pool_figures figures,
                                           placement place)
    : figures_(figures), place_(std::move(place))
{
}

void stage_pool_scheduler::add(waiting_piece piece)
{
    queue_.push_back(piece);
}

void stage_pool_scheduler::remove_run(std::uint64_t run)
{
    std::erase_if(queue_,
                  [run](const waiting_piece& row) { return row.run == run; });
}

std::optional<planned_call>
stage_pool_scheduler::next(const std::vector<server_pointer>& servers,
                           boot_clock::time_point now)
{
    if (queue_.empty() || (calls_ > 0 && !another_call_pays(now)))
    {
        return std::nullopt;
    }
    const auto server = choose(servers, now);
    if (!server)
    {
        return std::nullopt;
    }
    planned_call call;
    call.server = server;
    call.pieces = take_batch(now);
    server_row& row = servers_[server->id];
    ++row.calls;
    ++calls_;
    // Calls of others may be ahead in the server's queue.
    const auto ahead = nominal(figures_.batch_size) * figures_.waiting_calls;
    call.limit = limit_reserve + ahead +
                 std::chrono::duration_cast<milliseconds>(
                     nominal(call.pieces.size()) * limit_factor);
    return call;
}

void stage_pool_scheduler::call_ended(const std::string& server,
                                      std::size_t pieces, milliseconds took,
                                      std::optional<server_load> load,
                                      bool answered, boot_clock::time_point now)
{
    server_row& row = servers_[server];
    row.calls -= row.calls > 0 ? 1 : 0;
    calls_ -= calls_ > 0 ? 1 : 0;
    if (load)
    {
        row.load = *load;
        row.load_time = now;
    }
    if (!answered)
    {
        row.avoid_until = now + avoid_time;
        return;
    }
    const double expected =
        std::max(1.0, static_cast<double>(nominal(pieces).count()));
    const double ratio = static_cast<double>(took.count()) / expected;
    row.slowness += slowness_weight * (ratio - row.slowness);
}

std::optional<boot_clock::time_point> stage_pool_scheduler::next_time() const
{
    if (queue_.empty())
    {
        return std::nullopt;
    }
    const auto oldest = std::min_element(queue_.begin(), queue_.end(),
                                         [](const auto& a, const auto& b)
                                         { return a.queued < b.queued; });
    return oldest->queued + std::chrono::duration_cast<milliseconds>(
                                nominal(figures_.batch_size) * patience);
}

std::vector<waiting_piece>
stage_pool_scheduler::take_expired(boot_clock::time_point now)
{
    std::vector<waiting_piece> late;
    const auto least = nominal(1);
    std::erase_if(queue_,
                  [&](const waiting_piece& row)
                  {
                      const bool over = row.deadline < now + least;
                      if (over)
                      {
                          late.push_back(row);
                      }
                      return over;
                  });
    return late;
}

milliseconds stage_pool_scheduler::expected_time(std::size_t servers) const
{
    const auto batch = std::max<std::uint32_t>(1, figures_.batch_size);
    const double full_calls =
        static_cast<double>(queue_.size()) / batch /
        static_cast<double>(std::max<std::size_t>(1, servers));
    const double cycle = static_cast<double>(nominal(batch).count());
    const double running = calls_ > 0 ? 0.5 : 0.0;
    return milliseconds(static_cast<std::int64_t>(
        cycle * (full_calls + running) +
        static_cast<double>(nominal(batch / 2 + 1).count())));
}

milliseconds stage_pool_scheduler::nominal(std::size_t pieces) const
{
    return std::chrono::duration_cast<milliseconds>(
        figures_.call_time +
        figures_.item_time * static_cast<std::int64_t>(pieces));
}

bool stage_pool_scheduler::another_call_pays(boot_clock::time_point now) const
{
    if (queue_.size() >= figures_.batch_size)
    {
        return true;
    }
    const auto wake = next_time();
    return wake && *wake <= now;
}

stage_pool_scheduler::server_pointer
stage_pool_scheduler::choose(const std::vector<server_pointer>& servers,
                             boot_clock::time_point now)
{
    server_pointer best;
    double best_cost = 0;
    for (const bool careful : {true, false})
    {
        for (const auto& server : servers)
        {
            const server_row& row = servers_[server->id];
            if (row.calls >= figures_.parallel_calls ||
                (careful && row.avoid_until > now))
            {
                continue;
            }
            const double server_cost = cost(*server, row, now);
            if (!best || server_cost < best_cost)
            {
                best = server;
                best_cost = server_cost;
            }
        }
        if (best)
        {
            return best;
        }
    }
    return best;
}

double stage_pool_scheduler::cost(const backend_server& server,
                                  const server_row& row,
                                  boot_clock::time_point now) const
{
    const auto batch = figures_.batch_size;
    double result = static_cast<double>(nominal(batch).count()) * row.slowness;
    const auto age = now - row.load_time;
    if (row.load_time != boot_clock::time_point{} && age < load_lifetime)
    {
        const double ahead = row.load.running + row.load.waiting;
        result += ahead * static_cast<double>(nominal(batch / 2).count());
    }
    if (server.zone != place_.zone)
    {
        const bool near =
            std::find(place_.region_zones.begin(), place_.region_zones.end(),
                      server.zone) != place_.region_zones.end();
        result += near ? zone_cost_ms : region_cost_ms;
    }
    // Spreads the processes of a zone over its servers.
    constexpr double tie_ms = 20;
    const auto order = stable_hash(place_.instance + server.id) % 1000;
    return result + tie_ms * static_cast<double>(order) / 1000;
}

std::vector<waiting_piece>
stage_pool_scheduler::take_batch(boot_clock::time_point now)
{
    // What can still be in time goes first, the most urgent ahead.
    const auto order = [now](const waiting_piece& a, const waiting_piece& b)
    {
        const bool a_late = a.due < now;
        const bool b_late = b.due < now;
        return a_late != b_late ? b_late : a.due < b.due;
    };
    std::stable_sort(queue_.begin(), queue_.end(), order);
    const auto count = static_cast<std::ptrdiff_t>(
        std::min<std::size_t>(queue_.size(), figures_.batch_size));
    std::vector<waiting_piece> batch(queue_.begin(), queue_.begin() + count);
    queue_.erase(queue_.begin(), queue_.begin() + count);
    return batch;
}

} // namespace mangolink
