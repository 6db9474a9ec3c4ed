#include "soak/soak_faults.hpp"

#include "soak/soak_cluster.hpp"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace mangolink::test
{
namespace
{

/// Exceeds stop_limit_ms of the gateways (4 s) plus the longest pause.
constexpr milliseconds stop_timeout{20'000};

/// Longer than a process takes from its start to its first instruction.
constexpr milliseconds program_start_time{200};

/// Downtime of a server after a crash.
constexpr milliseconds server_downtime{700};

/// Time in which gateways learn what others know.
constexpr milliseconds contact_time{4000};

} // namespace

const std::vector<soak_faults::fault>& soak_faults::faults()
{
    static const std::vector<fault> all{
        {"kill", &soak_faults::kill_process},
        {"kill all", &soak_faults::kill_all},
        {"stop", &soak_faults::stop_process},
        {"pause", &soak_faults::pause_process},
        {"reload", &soak_faults::reload_process},
        {"degrade a link", &soak_faults::degrade_link},
        {"degrade a link", &soak_faults::degrade_link},
        {"reset connections", &soak_faults::reset_links},
        {"degrade the store", &soak_faults::degrade_store},
        {"compact the store", &soak_faults::drop_history},
        {"fail a server", &soak_faults::fail_server},
        {"fail a server", &soak_faults::fail_server},
        {"break a stream", &soak_faults::break_stream},
        {"silence a server", &soak_faults::silence_server},
        {"crash engines", &soak_faults::crash_engines},
        {"limit a server", &soak_faults::limit_server},
        {"limit a server", &soak_faults::limit_server},
        {"evacuate a zone", &soak_faults::evacuate_zone},
        {"cool a server", &soak_faults::cool_server},
        {"deregister a server", &soak_faults::deregister_server},
        {"fail a stage server", &soak_faults::fail_stage_server},
        {"rotate the key", &soak_faults::rotate_key}};
    return all;
}

soak_faults::soak_faults(soak_cluster& cluster, std::uint64_t seed)
    : cluster_(cluster), random_(seed), down_(cluster.gateways()),
      paused_(cluster.gateways()), outages_(cluster.gateways())
{
}

void soak_faults::step()
{
    const auto now = boot_clock::now();
    for (std::size_t i = 0; i < ends_.size();)
    {
        if (ends_[i].at > now)
        {
            ++i;
            continue;
        }
        const auto action = std::move(ends_[i].action);
        ends_.erase(ends_.begin() + static_cast<std::ptrdiff_t>(i));
        action();
    }
    recover_servers();
    const fault& chosen = faults()[random_below(faults().size())];
    ++counts_[chosen.name];
    (this->*chosen.begin)();
}

void soak_faults::end_all_faults()
{
    std::sort(ends_.begin(), ends_.end(),
              [](const pending_end& a, const pending_end& b)
              { return a.at < b.at; });
    for (const auto& end : std::exchange(ends_, {}))
    {
        end.action();
    }
    for (auto* server : cluster_.servers())
    {
        server->set_crashing_part({});
        server->clear_faults();
        server->break_next_stream_after(0);
        server->silence_next_stream(0, {});
        server->set_delay({});
    }
    std::this_thread::sleep_for(server_downtime);
    recover_servers();
}

bool soak_faults::in_touch(std::size_t gateway, boot_clock::time_point at) const
{
    return std::none_of(outages_[gateway].begin(), outages_[gateway].end(),
                        [at](const outage& each) {
                            return each.begin <= at &&
                                   at - contact_time < each.end;
                        });
}

bool soak_faults::store_in_touch(boot_clock::time_point begin,
                                 boot_clock::time_point end) const
{
    return std::none_of(store_faults_.begin(), store_faults_.end(),
                        [&](const outage& each) {
                            return each.begin <= end &&
                                   begin - contact_time < each.end;
                        });
}

void soak_faults::begin_store_fault()
{
    if (open_store_faults_++ == 0)
    {
        store_faults_.push_back({boot_clock::now()});
    }
}

void soak_faults::end_store_fault()
{
    if (--open_store_faults_ == 0)
    {
        store_faults_.back().end = boot_clock::now();
    }
}

void soak_faults::begin_outage(std::size_t gateway)
{
    outages_[gateway].push_back({boot_clock::now()});
}

void soak_faults::end_outage(std::size_t gateway)
{
    outages_[gateway].back().end = boot_clock::now();
}

void soak_faults::end_after(milliseconds minimum, milliseconds maximum,
                            std::function<void()> action)
{
    const auto span = static_cast<std::uint64_t>((maximum - minimum).count());
    const auto time = minimum + milliseconds(random_below(span + 1));
    ends_.push_back({boot_clock::now() + time, std::move(action)});
}

void soak_faults::restart_after(std::size_t index, milliseconds minimum,
                                milliseconds maximum)
{
    down_[index] = true;
    begin_outage(index);
    end_after(minimum, maximum,
              [this, index]
              {
                  auto& gateway = cluster_.gateway(index);
                  gateway.process().wait(stop_timeout);
                  gateway.start();
                  down_[index] = false;
                  end_outage(index);
              });
}

void soak_faults::kill_process()
{
    const auto index = random_below(cluster_.gateways());
    if (!down_[index] && !paused_[index])
    {
        cluster_.gateway(index).process().signal(SIGKILL);
        restart_after(index, milliseconds(50), milliseconds(1500));
    }
}

void soak_faults::kill_all()
{
    if (random_below(4) != 0)
    {
        return; // less frequent than the other faults
    }
    for (std::size_t index = 0; index < cluster_.gateways(); ++index)
    {
        if (!down_[index] && !paused_[index])
        {
            cluster_.gateway(index).process().signal(SIGKILL);
            restart_after(index, milliseconds(50), milliseconds(400));
        }
    }
}

void soak_faults::stop_process()
{
    const auto index = random_below(cluster_.gateways());
    if (!down_[index] && !paused_[index])
    {
        cluster_.gateway(index).process().signal(SIGTERM);
        restart_after(index, milliseconds(4500), milliseconds(6000));
    }
}

void soak_faults::pause_process()
{
    const auto index = random_below(cluster_.gateways());
    if (down_[index] || paused_[index])
    {
        return;
    }
    paused_[index] = true;
    begin_outage(index);
    cluster_.gateway(index).process().signal(SIGSTOP);
    end_after(milliseconds(100), milliseconds(4500),
              [this, index]
              {
                  paused_[index] = false;
                  cluster_.gateway(index).process().signal(SIGCONT);
                  end_outage(index);
              });
}

void soak_faults::reload_process()
{
    const auto index = random_below(cluster_.gateways());
    for (std::uint64_t i = random_below(3); !down_[index] && i < 3; ++i)
    {
        auto& process = cluster_.gateway(index).process();
        // No program survives the signal before its first instruction.
        if (bench::wait_until([&] { return process.handles(SIGHUP); },
                              program_start_time))
        {
            process.signal(SIGHUP);
        }
    }
}

void soak_faults::degrade_link()
{
    static const std::vector<nlohmann::json> link_faults{
        {{"delay_ms", 30}, {"jitter_ms", 60}},
        {{"delay_ms", 400}},
        {{"cut", true}},
        {{"hold_to_server", true}},
        {{"hold_to_client", true}},
        {{"drop", 0.5}},
        {{"bytes_per_second", 2000}},
        {{"duplicate_connect", true}}};
    const auto& link = cluster_.links()[random_below(cluster_.links().size())];
    if (rules_.contains(link) || is_limited(link))
    {
        return;
    }
    rules_[link] = link_faults[random_below(link_faults.size())];
    cluster_.set_rules(rules_);
    const bool to_store = link.starts_with("store-");
    if (to_store)
    {
        begin_store_fault();
    }
    end_after(milliseconds(200), milliseconds(5000),
              [this, link, to_store]
              {
                  rules_.erase(link);
                  cluster_.set_rules(rules_);
                  if (to_store)
                  {
                      end_store_fault();
                  }
              });
}

void soak_faults::reset_links()
{
    begin_store_fault();
    end_store_fault();
    auto rules_with_resets = rules_;
    for (const auto& link : cluster_.links())
    {
        if (!rules_with_resets.contains(link) && random_below(2) == 0)
        {
            rules_with_resets[link] = {{"reset", true}};
        }
    }
    cluster_.set_rules(rules_with_resets);
    cluster_.set_rules(rules_);
}

void soak_faults::degrade_store()
{
    auto& store = cluster_.platform().store();
    begin_store_fault();
    switch (random_below(3))
    {
    case 0:
        store.set_mode(store_mode::busy);
        break;
    case 1:
        store.set_mode(store_mode::unresponsive);
        break;
    default:
        store.drop_answer_every(2);
        break;
    }
    end_after(milliseconds(300), milliseconds(4000),
              [this, &store]
              {
                  store.set_mode(store_mode::serving);
                  store.drop_answer_every(0);
                  end_store_fault();
              });
}

void soak_faults::drop_history()
{
    begin_store_fault();
    cluster_.platform().store().compact();
    end_store_fault();
}

void soak_faults::fail_server()
{
    static constexpr backend_fault kinds[] = {
        backend_fault::shed,           backend_fault::failure,
        backend_fault::answer_lost,    backend_fault::truncated,
        backend_fault::foreign_answer, backend_fault::extra_answer,
        backend_fault::unframed_reset, backend_fault::unsigned_success,
        backend_fault::hang,           backend_fault::unproven_refusal};
    auto* server = cluster_.servers()[random_below(cluster_.servers().size())];
    const auto kind = kinds[random_below(std::size(kinds))];
    server->add_faults(std::vector<backend_fault>(1 + random_below(4), kind));
}

void soak_faults::break_stream()
{
    auto* engine = cluster_.servers()[plain_servers + random_below(engines)];
    engine->break_next_stream_after(1 + static_cast<unsigned>(random_below(6)));
}

void soak_faults::silence_server()
{
    const auto time = milliseconds(700 + random_below(1800));
    auto* server = cluster_.servers()[random_below(cluster_.servers().size())];
    if (random_below(2) == 0)
    {
        server->silence_next_stream(static_cast<unsigned>(random_below(6)),
                                    time);
        return;
    }
    server->set_delay(time);
    end_after(milliseconds(300), milliseconds(1500),
              [server] { server->set_delay({}); });
}

void soak_faults::crash_engines()
{
    for (std::size_t i = 0; i < engines / 2; ++i)
    {
        cluster_.servers()[plain_servers + random_below(engines)]->crash();
    }
}

void soak_faults::limit_server()
{
    static constexpr double rates[] = {0.5, 2, 2.5, 10};
    const auto index = random_below(cluster_.servers().size());
    auto* server = cluster_.servers()[index];
    // What a degraded link held up would arrive at one moment.
    if (is_limited(server->id()) || rules_.contains(server->id()))
    {
        return;
    }
    const double rate = rates[random_below(std::size(rates))];
    server->set_notice("Server-Limit: " + std::to_string(rate));
    limits_.push_back({index, rate, boot_clock::now()});
    end_after(milliseconds(5000), milliseconds(10'000),
              [this, server, period = limits_.size() - 1]
              {
                  server->set_notice({});
                  limits_[period].end = boot_clock::now();
              });
}

bool soak_faults::is_limited(const std::string& server) const
{
    return std::any_of(limits_.begin(), limits_.end(),
                       [&](const limit_period& period)
                       {
                           return period.end == boot_clock::time_point::max() &&
                                  cluster_.servers()[period.server]->id() ==
                                      server;
                       });
}

void soak_faults::evacuate_zone()
{
    if (!evacuations_.empty() &&
        evacuations_.back().end == boot_clock::time_point::max())
    {
        return;
    }
    evacuations_.push_back({second_zone, boot_clock::now()});
    cluster_.platform().evacuate(second_zone);
    end_after(milliseconds(5000), milliseconds(9000),
              [this]
              {
                  evacuations_.back().end = boot_clock::now();
                  cluster_.platform().take_back(second_zone);
              });
}

void soak_faults::cool_server()
{
    constexpr milliseconds cold_time{8000};
    const auto now = boot_clock::now();
    const auto& id = cluster_.servers()[random_below(plain_servers)]->id();
    // What a degraded link held up would arrive at one moment.
    if (rules_.contains(id) || is_limited(id) ||
        (!cold_.empty() && cold_.back().begin + cold_time > now))
    {
        return;
    }
    cold_.push_back({id, now, now + cold_time - milliseconds(500)});
    cluster_.platform().set_cold(id, cold_time);
    end_after(cold_time, cold_time,
              [this, id]
              { cluster_.platform().set_cold(id, milliseconds(0)); });
}

void soak_faults::recover_servers()
{
    for (auto* server : cluster_.servers())
    {
        if (server->crashed() &&
            server->crash_times().back() + server_downtime < boot_clock::now())
        {
            server->recover();
            cluster_.platform().restart_server(server->id());
        }
    }
}

void soak_faults::deregister_server()
{
    const auto& id =
        cluster_.servers()[random_below(cluster_.servers().size())]->id();
    if (random_below(2) == 0)
    {
        cluster_.platform().register_server(id, "draining");
    }
    else
    {
        cluster_.platform().unregister_server(id);
    }
    end_after(milliseconds(500), milliseconds(4000),
              [this, id] { cluster_.platform().register_server(id, "ready"); });
}

void soak_faults::fail_stage_server()
{
    auto* server =
        cluster_.stage_servers()[random_below(cluster_.stage_servers().size())];
    switch (random_below(4))
    {
    case 0:
        server->shed_next(2);
        break;
    case 1:
        server->hang_next(1);
        break;
    case 2:
        server->fail_next(3, "error");
        break;
    default:
        server->fail_next(3, "gone");
        break;
    }
}

void soak_faults::rotate_key()
{
    cluster_.rotate_key();
}

} // namespace mangolink::test
