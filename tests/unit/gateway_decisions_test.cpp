#include "process/peer_directory.hpp"
#include "request/windowed_retry_budget.hpp"
#include "support/section.hpp"
#include "version/configuration_freshness.hpp"
#include "version/gateway_configuration.hpp"

#include <memory>
#include <random>

namespace mangolink::test
{
namespace
{

peer process(const std::string& name, const std::string& zone,
             std::uint64_t started = 1)
{
    return {incarnation(started + std::hash<std::string>()(name)), name, zone,
            socket_address{"127.0.0." + name.substr(1), 7000}, false};
}

gateway_route route(const std::string& host, const std::string& prefix)
{
    gateway_route result;
    result.name = host + prefix;
    result.host = host;
    result.prefix = prefix;
    return result;
}

} // namespace

/// Tests of the small decision classes of a gateway.
class gateway_decisions_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_decisions_test);
    CPPUNIT_TEST(the_longest_prefix_selects_the_route);
    CPPUNIT_TEST(keys_are_accepted_while_confirmed);
    CPPUNIT_TEST(retries_stay_under_the_common_limit);
    CPPUNIT_TEST(each_server_has_one_owner);
    CPPUNIT_TEST(unresponsive_processes_expire);
    CPPUNIT_TEST(large_zones_are_not_told_of_single_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_longest_prefix_selects_the_route()
    {
        gateway_configuration_data data;
        data.routes = {route("a", "/x/"), route("a", "/x/y/"), route("b", "/")};
        data.customers = std::vector<gateway_customer>{
            {"one", {"k1", "k2"}, {}, {}}, {"two", {"k3"}, {}, {}}};
        const gateway_configuration configuration(data);
        const auto found = [&](const char* host, const char* path)
        {
            const auto* row = configuration.find_route(host, path);
            return row == nullptr ? std::string() : row->name;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("a/x/"), found("a", "/x/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("a/x/y/"), found("a", "/x/y/z?q=/"));
        CPPUNIT_ASSERT_EQUAL(std::string("a/x/"), found("a", "/x/yy"));
        CPPUNIT_ASSERT_EQUAL(std::string(), found("a", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(), found("a", "/?p=/x/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), found("c", "/x/"));
        CPPUNIT_ASSERT_EQUAL(std::string("b/"), found("b", "/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), found("b", ""));
        CPPUNIT_ASSERT_EQUAL(std::string("one"),
                             configuration.find_customer("k2")->name);
        CPPUNIT_ASSERT(configuration.find_customer("k") == nullptr);
    }

    void keys_are_accepted_while_confirmed()
    {
        configuration_freshness freshness(milliseconds(5000),
                                          milliseconds(1000));
        CPPUNIT_ASSERT(!freshness.keys_trusted(now_));
        CPPUNIT_ASSERT(!freshness.age(now_));
        freshness.confirm(now_);
        CPPUNIT_ASSERT(freshness.keys_trusted(now_ + milliseconds(3999)));
        CPPUNIT_ASSERT(!freshness.keys_trusted(now_ + milliseconds(4000)));
        section("an older confirmation that arrives late has no effect",
                [&]
                {
                    freshness.confirm(now_ - milliseconds(3000));
                    CPPUNIT_ASSERT(
                        freshness.keys_trusted(now_ + milliseconds(3999)));
                });
        section("it is confirmed twice before keys stop being accepted",
                [&]
                {
                    CPPUNIT_ASSERT(freshness.refresh_interval(milliseconds(
                                       1200)) == milliseconds(1200));
                    CPPUNIT_ASSERT(
                        2 * freshness.refresh_interval(milliseconds(9000)) <
                        milliseconds(4000));
                });
        section("a process that was suspended does not accept keys",
                [&] {
                    CPPUNIT_ASSERT(
                        !freshness.keys_trusted(now_ + std::chrono::hours(1)));
                });
    }

    /// With unevenly loaded processes, the retries of all processes together
    /// must stay below the limit of the platform in every window.
    void retries_stay_under_the_common_limit()
    {
        constexpr double ratio = 0.2;
        constexpr double slack = 50;
        constexpr int processes = 6;
        const milliseconds window(10'000);
        std::vector<windowed_retry_budget> all(
            processes, windowed_retry_budget({ratio, slack, window}));
        for (auto& one : all)
        {
            one.set_slack_share(1.0 / processes);
        }
        std::mt19937 random(11);
        std::vector<std::pair<int, bool>> sends; ///< time in ms, is a retry
        for (int t = 0; t < 60'000; t += 5)
        {
            const auto now = now_ + milliseconds(t);
            auto& one = all[random() % (1 + random() % processes)];
            one.count_request(now);
            sends.emplace_back(t, false);
            for (int i = 0; i < 3; ++i)
            {
                if (one.try_acquire(now))
                {
                    sends.emplace_back(t, true);
                }
            }
        }
        for (int begin = 0; begin + 10'000 <= 60'000; begin += 500)
        {
            double requests = 0;
            double repeats = 0;
            for (const auto& [t, repeated] : sends)
            {
                const bool inside = t >= begin && t < begin + 10'000;
                (repeated ? repeats : requests) += inside ? 1 : 0;
            }
            CPPUNIT_ASSERT(repeats <= ratio * requests + slack);
        }
    }

    void each_server_has_one_owner()
    {
        std::vector<peer> all{process("g1", "a"), process("g2", "a"),
                              process("g3", "b")};
        std::vector<std::unique_ptr<peer_directory>> views;
        for (const auto& self : all)
        {
            peer_directory_settings settings;
            settings.self = self;
            views.push_back(std::make_unique<peer_directory>(settings));
            for (const auto& other : all)
            {
                views.back()->record_heartbeat(other, now_);
            }
        }
        const auto chosen = [](const peer_directory& view,
                               const std::string& server,
                               const std::string& zone)
        {
            const auto* found = view.owner_of(server, zone);
            return found == nullptr ? view.self().name : found->name;
        };
        std::map<std::string, int> count;
        for (int i = 0; i < 60; ++i)
        {
            const std::string server = "s" + std::to_string(i);
            const auto first = chosen(*views[0], server, "a");
            ++count[first];
            for (const auto& view : views)
            {
                CPPUNIT_ASSERT_EQUAL(first, chosen(*view, server, "a"));
                CPPUNIT_ASSERT_EQUAL(std::string("g3"),
                                     chosen(*view, server, "b"));
            }
        }
        section("servers of a zone are spread over its processes", [&]
                { CPPUNIT_ASSERT(count["g1"] >= 15 && count["g2"] >= 15); });
        section("a stopping process loses ownership immediately",
                [&]
                {
                    auto stopping = all[2];
                    stopping.stopping = true;
                    CPPUNIT_ASSERT(peer_change::stopping ==
                                   views[0]->record_heartbeat(stopping, now_));
                    CPPUNIT_ASSERT(chosen(*views[0], "s1", "b") != "g3");
                });
    }

    void large_zones_are_not_told_of_single_requests()
    {
        peer_directory_settings settings;
        settings.self = process("g1", "a");
        settings.region_zones = {"a"};
        peer_directory view(settings);
        const auto add = [&](const std::string& zone, int count)
        {
            for (int i = 0; i < count; ++i)
            {
                view.record_heartbeat(process(zone + std::to_string(i), zone),
                                      now_);
            }
        };
        add("a", 10);
        add("b", 20);
        section("one process of each zone elsewhere tells the others",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(10),
                                         view.nearby_addresses(false).size());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         view.relay_addresses(7).size());
                });
        section("unless they are too many",
                [&]
                {
                    add("c", 50);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         view.relay_addresses(7).size());
                    add("a", 50);
                    CPPUNIT_ASSERT(view.nearby_addresses(false).empty());
                });
    }

    void unresponsive_processes_expire()
    {
        peer_directory_settings settings;
        settings.self = process("g1", "a");
        peer_directory view(settings);
        CPPUNIT_ASSERT(peer_change::joined ==
                       view.record_heartbeat(process("g2", "a"), now_));
        CPPUNIT_ASSERT(peer_change::restarted ==
                       view.record_heartbeat(process("g2", "a", 2), now_));
        CPPUNIT_ASSERT(peer_change::none ==
                       view.record_heartbeat(settings.self, now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view.max_recent_processes(now_));
        now_ += milliseconds(1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.expire(now_).size());
        section(
            "its address still receives heartbeats",
            [&]
            {
                CPPUNIT_ASSERT_EQUAL(
                    std::size_t(1),
                    view.heartbeat_targets(0, heartbeat_kind::liveness).size());
            });
        section("shares of common limits do not grow immediately",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         view.max_recent_processes(now_));
                    now_ += milliseconds(60'000);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         view.max_recent_processes(now_));
                });
        section("an unresponsive address is removed eventually",
                [&]
                {
                    view.expire(now_);
                    CPPUNIT_ASSERT(
                        view.heartbeat_targets(0, heartbeat_kind::liveness)
                            .empty());
                });
    }

private:
    boot_clock::time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_decisions_test);

} // namespace mangolink::test
