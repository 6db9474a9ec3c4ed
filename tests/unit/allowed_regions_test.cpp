#include "process/backend_directory.hpp"
#include "request/direct_balancer.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"
#include "support/section.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <random>

namespace mangolink::test
{
namespace
{

constexpr int zones = 6;
constexpr int regions = 3;

std::string zone_name(int index)
{
    return absl::StrCat("z", index);
}

std::string region_name(int index)
{
    return absl::StrCat("r", index);
}

/// Two zones in each region.
std::map<std::string, std::string> region_of_zone()
{
    std::map<std::string, std::string> result;
    for (int i = 0; i < zones; ++i)
    {
        result[zone_name(i)] = region_name(i % regions);
    }
    return result;
}

backend_server make_server(int index, const std::string& zone)
{
    backend_server result;
    result.id = absl::StrCat("s", index);
    result.service = index % 2 == 0 ? "engine" : "encode";
    result.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    result.zone = zone;
    result.sequence = 1;
    return result;
}

gateway_route make_route(std::optional<std::vector<std::string>> homes)
{
    gateway_route result;
    result.name = "r";
    result.host = "h";
    result.prefix = "/x/";
    result.allowed_regions = std::move(homes);
    return result;
}

} // namespace

/// Requests whose route or customer names the regions that serve them.
class allowed_regions_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(allowed_regions_test);
    CPPUNIT_TEST(no_choice_leaves_the_allowed_regions);
    CPPUNIT_TEST(route_and_customer_both_bind);
    CPPUNIT_TEST(a_new_configuration_binds_accepted_requests);
    CPPUNIT_TEST(requests_without_regions_are_balanced_as_before);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_choice_leaves_the_allowed_regions()
    {
        std::mt19937 random(11);
        const region_table table(region_of_zone());
        for (int round = 0; round < 200; ++round)
        {
            backend_directory directory(milliseconds(2000),
                                        {"g", "z0", {"z0", "z3"}}, table);
            std::map<std::string, std::vector<std::string>> expected;
            std::vector<std::string> homes;
            for (int i = 0; i < regions; ++i)
            {
                if (random() % 2 == 0)
                {
                    homes.push_back(region_name(i));
                }
            }
            const auto allowed = table.set_of(homes);
            for (int i = 0; i < 40; ++i)
            {
                // Zone 6 is in no region that the deployment names.
                const int zone = (i / 2 + round) % (zones + 1);
                const auto server = make_server(i, zone_name(zone));
                directory.put(server);
                const bool is_allowed =
                    zone < zones &&
                    std::find(homes.begin(), homes.end(),
                              region_name(zone % regions)) != homes.end();
                if (is_allowed)
                {
                    expected[server.service].push_back(server.id);
                }
            }
            for (const std::string service : {"engine", "encode"})
            {
                auto& wanted = expected[service];
                std::sort(wanted.begin(), wanted.end());
                assert_same(wanted, directory.servers(service, allowed));
                assert_same(wanted,
                            directory.groups().subset(service, allowed));
            }
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(20),
                directory.servers("engine", region_set::all()).size());
        }
    }

    void route_and_customer_both_bind()
    {
        auto state = make_state();
        const auto allowed = [&](std::optional<std::vector<std::string>> route,
                                 std::optional<std::vector<std::string>> names)
        {
            const gateway_configuration configuration({});
            gateway_customer customer;
            customer.allowed_regions = std::move(names);
            return state.regions().names_of(state.allowed_regions(
                configuration, make_route(std::move(route)), &customer));
        };
        using names = std::vector<std::string>;
        CPPUNIT_ASSERT(allowed({}, {}).size() == regions);
        CPPUNIT_ASSERT(allowed(names{"r1"}, {}) == names{"r1"});
        CPPUNIT_ASSERT(allowed({}, names{"r2"}) == names{"r2"});
        CPPUNIT_ASSERT(allowed(names{"r0", "r1"}, names{"r1", "r2"}) ==
                       names{"r1"});
        section("no common region", [&]
                { CPPUNIT_ASSERT(allowed(names{"r0"}, names{"r1"}).empty()); });
        section(
            "regions that the deployment does not have",
            [&]
            {
                CPPUNIT_ASSERT(allowed(names{"r9"}, {}).empty());
                CPPUNIT_ASSERT(allowed(names{}, {}).empty());
                CPPUNIT_ASSERT(allowed(names{"r9", "r1"}, {}) == names{"r1"});
            });
    }

    void a_new_configuration_binds_accepted_requests()
    {
        auto state = make_state();
        const auto install =
            [&](std::uint64_t version, std::vector<std::string> homes)
        {
            gateway_configuration_data data;
            data.version = version;
            data.routes = {make_route(std::move(homes))};
            auto next =
                std::make_shared<const gateway_configuration>(std::move(data));
            CPPUNIT_ASSERT(state.install(next));
            return next;
        };
        const auto accepted_under = install(1, {"r0", "r1"});
        const auto* route = accepted_under->find_route("h", "/x/y");
        const auto now_allowed = [&]
        {
            return state.regions().names_of(
                state.allowed_regions(*accepted_under, *route, nullptr));
        };
        using names = std::vector<std::string>;
        CPPUNIT_ASSERT(now_allowed() == names({"r0", "r1"}));
        install(2, {"r1", "r2"});
        section("a region that was withdrawn is not used any more, nor one "
                "that the request was not accepted for",
                [&] { CPPUNIT_ASSERT(now_allowed() == names({"r1"})); });
        install(3, {"r2"});
        CPPUNIT_ASSERT(now_allowed().empty());
    }

    void requests_without_regions_are_balanced_as_before()
    {
        backend_directory directory(milliseconds(2000), {"g", "z0", {"z0"}},
                                    region_table(region_of_zone()));
        std::vector<direct_balancer::server_pointer> all;
        for (int i = 0; i < 30; i += 2)
        {
            const auto server = make_server(i, zone_name(i % zones));
            directory.put(server);
            all.push_back(std::make_shared<backend_server>(server));
        }
        std::sort(all.begin(), all.end(),
                  [](const auto& a, const auto& b) { return a->id < b->id; });
        direct_balancer before({"g", "z0", {"z0"}});
        direct_balancer filtered({"g", "z0", {"z0"}});
        std::mt19937 random(5);
        const boot_clock::time_point now(std::chrono::hours(1));
        for (int i = 0; i < 2000; ++i)
        {
            server_preferences preferences;
            preferences.affinity = random() % 50;
            preferences.shared_tokens = random() % 8000;
            preferences.bytes = random() % 9000;
            const auto expected = before.choose(all, preferences, now);
            const auto chosen =
                filtered.choose(directory.servers("engine", region_set::all()),
                                preferences, now);
            CPPUNIT_ASSERT_EQUAL(expected->id, chosen->id);
            const auto time = milliseconds(random() % 300);
            const bool is_served = random() % 3 == 0;
            for (auto* balancer : {&before, &filtered})
            {
                balancer->send_started(chosen->id);
                if (is_served)
                {
                    balancer->send_ended(chosen->id, send_outcome::served, time,
                                         now);
                }
            }
        }
    }

private:
    static gateway_state make_state()
    {
        gateway_settings settings;
        settings.name = "g";
        settings.zone = "z0";
        settings.region = "r0";
        settings.region_of_zone = region_of_zone();
        return gateway_state(settings);
    }

    static void
    assert_same(const std::vector<std::string>& expected,
                const std::vector<backend_directory::server_pointer>& servers)
    {
        std::vector<std::string> ids;
        ids.reserve(servers.size());
        for (const auto& server : servers)
        {
            ids.push_back(server->id);
        }
        std::sort(ids.begin(), ids.end());
        CPPUNIT_ASSERT(expected == ids);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowed_regions_test);

} // namespace mangolink::test
