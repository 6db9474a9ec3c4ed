#include "soak/soak_faults.hpp"

#include "soak/soak_site.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace mangolink::test
{
namespace
{

/// A process that was told to stop ends within its limit of 4 s, and a pause.
constexpr milliseconds stop_patience{20'000};

/// Servers of one service that may be away at once; the others serve.
constexpr std::size_t servers_of_service = 3;

} // namespace

const std::vector<soak_faults::fault>& soak_faults::faults()
{
    static const std::vector<fault> all{
        {"kill", &soak_faults::kill_process},
        {"kill all", &soak_faults::kill_all},
        {"stop", &soak_faults::stop_process},
        {"pause", &soak_faults::pause_process},
        {"reload", &soak_faults::reload_process},
        {"harm a way", &soak_faults::harm_way},
        {"harm a way", &soak_faults::harm_way},
        {"reset connections", &soak_faults::reset_ways},
        {"harm the store", &soak_faults::harm_store},
        {"drop history", &soak_faults::drop_history},
        {"fail a server", &soak_faults::fail_server},
        {"fail a server", &soak_faults::fail_server},
        {"break a stream", &soak_faults::break_stream},
        {"server leaves", &soak_faults::leave_server},
        {"fail a pool", &soak_faults::fail_pool},
        {"change key", &soak_faults::change_key}};
    return all;
}

soak_faults::soak_faults(soak_site& site, std::uint64_t seed)
    : site_(site), random_(seed), down_(site.gateways()),
      paused_(site.gateways())
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
        const auto work = std::move(ends_[i].work);
        ends_.erase(ends_.begin() + static_cast<std::ptrdiff_t>(i));
        work();
    }
    const fault& chosen = faults()[draw(faults().size())];
    ++counts_[chosen.name];
    (this->*chosen.begin)();
}

void soak_faults::heal()
{
    std::sort(ends_.begin(), ends_.end(),
              [](const pending_end& a, const pending_end& b)
              { return a.at < b.at; });
    for (const auto& end : std::exchange(ends_, {}))
    {
        end.work();
    }
    for (auto* server : site_.servers())
    {
        server->clear_faults();
        server->break_next_stream_after(0);
    }
}

void soak_faults::end_after(milliseconds least, milliseconds most,
                            std::function<void()> work)
{
    const auto span = static_cast<std::uint64_t>((most - least).count());
    const auto time = least + milliseconds(draw(span + 1));
    ends_.push_back({boot_clock::now() + time, std::move(work)});
}

void soak_faults::restart_after(std::size_t index, milliseconds least,
                                milliseconds most)
{
    down_[index] = true;
    end_after(least, most,
              [this, index]
              {
                  auto& gateway = site_.gateway(index);
                  gateway.process().wait(stop_patience);
                  gateway.start();
                  down_[index] = false;
              });
}

void soak_faults::kill_process()
{
    const auto index = draw(site_.gateways());
    if (!down_[index] && !paused_[index])
    {
        site_.gateway(index).process().signal(SIGKILL);
        restart_after(index, milliseconds(50), milliseconds(1500));
    }
}

void soak_faults::kill_all()
{
    if (draw(4) != 0)
    {
        return; // rarer than the rest
    }
    for (std::size_t index = 0; index < site_.gateways(); ++index)
    {
        if (!down_[index] && !paused_[index])
        {
            site_.gateway(index).process().signal(SIGKILL);
            restart_after(index, milliseconds(50), milliseconds(400));
        }
    }
}

void soak_faults::stop_process()
{
    const auto index = draw(site_.gateways());
    if (!down_[index] && !paused_[index])
    {
        site_.gateway(index).process().signal(SIGTERM);
        restart_after(index, milliseconds(4500), milliseconds(6000));
    }
}

void soak_faults::pause_process()
{
    const auto index = draw(site_.gateways());
    if (down_[index] || paused_[index])
    {
        return;
    }
    paused_[index] = true;
    site_.gateway(index).process().signal(SIGSTOP);
    end_after(milliseconds(100), milliseconds(4500),
              [this, index]
              {
                  paused_[index] = false;
                  site_.gateway(index).process().signal(SIGCONT);
              });
}

void soak_faults::reload_process()
{
    const auto index = draw(site_.gateways());
    for (std::uint64_t i = draw(3); !down_[index] && i < 3; ++i)
    {
        site_.gateway(index).process().signal(SIGHUP);
    }
}

void soak_faults::harm_way()
{
    static const std::vector<nlohmann::json> harms{
        {{"delay_ms", 30}, {"jitter_ms", 60}},
        {{"delay_ms", 400}},
        {{"cut", true}},
        {{"hold_to_server", true}},
        {{"hold_to_client", true}},
        {{"drop", 0.5}},
        {{"bytes_per_second", 2000}},
        {{"duplicate_connect", true}}};
    const auto& way = site_.ways()[draw(site_.ways().size())];
    if (rules_.contains(way))
    {
        return;
    }
    rules_[way] = harms[draw(harms.size())];
    site_.set_rules(rules_);
    end_after(milliseconds(200), milliseconds(5000),
              [this, way]
              {
                  rules_.erase(way);
                  site_.set_rules(rules_);
              });
}

void soak_faults::reset_ways()
{
    auto once = rules_;
    for (const auto& way : site_.ways())
    {
        if (!once.contains(way) && draw(2) == 0)
        {
            once[way] = {{"reset", true}};
        }
    }
    site_.set_rules(once);
    site_.set_rules(rules_);
}

void soak_faults::harm_store()
{
    auto& store = site_.site().store();
    switch (draw(3))
    {
    case 0:
        store.set_mode(store_mode::busy);
        break;
    case 1:
        store.set_mode(store_mode::silent);
        break;
    default:
        store.lose_every(2);
        break;
    }
    end_after(milliseconds(300), milliseconds(4000),
              [&store]
              {
                  store.set_mode(store_mode::serving);
                  store.lose_every(0);
              });
}

void soak_faults::drop_history()
{
    site_.site().store().compact();
}

void soak_faults::fail_server()
{
    static constexpr backend_fault kinds[] = {
        backend_fault::shed,           backend_fault::failure,
        backend_fault::answer_lost,    backend_fault::truncated,
        backend_fault::foreign_answer, backend_fault::extra_answer,
        backend_fault::unframed_reset, backend_fault::unsigned_success,
        backend_fault::hang,           backend_fault::unproven_refusal};
    auto* server = site_.servers()[draw(site_.servers().size())];
    const auto kind = kinds[draw(std::size(kinds))];
    server->add_faults(std::vector<backend_fault>(1 + draw(4), kind));
}

void soak_faults::break_stream()
{
    auto* engine =
        site_.servers()[servers_of_service + draw(servers_of_service)];
    engine->break_next_stream_after(1 + static_cast<unsigned>(draw(6)));
}

void soak_faults::leave_server()
{
    const auto& id = site_.servers()[draw(site_.servers().size())]->id();
    if (draw(2) == 0)
    {
        site_.site().register_server(id, "draining");
    }
    else
    {
        site_.site().unregister_server(id);
    }
    end_after(milliseconds(500), milliseconds(4000),
              [this, id] { site_.site().register_server(id, "ready"); });
}

void soak_faults::fail_pool()
{
    auto* pool = site_.pools()[draw(site_.pools().size())];
    switch (draw(4))
    {
    case 0:
        pool->shed_next(2);
        break;
    case 1:
        pool->hang_next(1);
        break;
    case 2:
        pool->fail_next(3, "error");
        break;
    default:
        pool->fail_next(3, "gone");
        break;
    }
}

void soak_faults::change_key()
{
    site_.change_key();
}

} // namespace mangolink::test
