#include "process/server_groups.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <map>

namespace mangolink::test
{
namespace
{

/// Returns a pool with this many servers in each zone.
server_groups::servers_by_service
make_pool(const std::map<std::string, int>& servers_in_zone)
{
    server_groups::servers_by_service result;
    for (const auto& [zone, count] : servers_in_zone)
    {
        for (int i = 0; i < count; ++i)
        {
            auto server = std::make_shared<backend_server>();
            server->id = zone + "-" + std::to_string(i);
            server->service = "encode";
            server->zone = zone;
            result["encode"].push_back(std::move(server));
        }
    }
    return result;
}

std::size_t
count_in_zone(const std::vector<server_groups::server_pointer>& list,
              const std::string& zone)
{
    return static_cast<std::size_t>(std::count_if(
        list.begin(), list.end(),
        [&zone](const auto& server) { return server->zone == zone; }));
}

} // namespace

/// Pools from a few servers in a zone to hundreds.
class server_groups_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_groups_test);
    CPPUNIT_TEST(a_small_pool_is_one_group_per_zone);
    CPPUNIT_TEST(a_large_pool_has_bounded_groups_and_subsets);
    CPPUNIT_TEST(a_growing_pool_only_splits_groups);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_small_pool_is_one_group_per_zone()
    {
        const auto pool = make_pool({{"a", 7}, {"b", 4}});
        const auto groups = rebuilt("g1", pool);
        for (const auto& server : pool.at("encode"))
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t(server->zone == "a" ? 7 : 4),
                                 groups.members(*server).size());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(11),
                             groups.subset("encode", region_set::all()).size());
        CPPUNIT_ASSERT(groups.subset("other", region_set::all()).empty());
    }

    void a_large_pool_has_bounded_groups_and_subsets()
    {
        const auto pool = make_pool({{"a", 300}, {"b", 300}, {"c", 300}});
        const auto groups = rebuilt("g1", pool);
        section("every server is in one group",
                [&]
                {
                    std::map<std::string, std::size_t> sizes;
                    for (const auto& server : pool.at("encode"))
                    {
                        const auto& members = groups.members(*server);
                        CPPUNIT_ASSERT(std::find(members.begin(), members.end(),
                                                 server) != members.end());
                        CPPUNIT_ASSERT(members.size() <= 24);
                        ++sizes[groups.group_of(*server) + server->zone];
                    }
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3 * 32), sizes.size());
                });
        section("a process chooses among some of each zone",
                [&]
                {
                    const auto& subset =
                        groups.subset("encode", region_set::all());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(24),
                                         count_in_zone(subset, "a"));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(8),
                                         count_in_zone(subset, "b"));
                });
        section("and all processes together among all",
                [&]
                {
                    std::map<std::string, int> users;
                    for (int i = 0; i < 100; ++i)
                    {
                        const auto other =
                            rebuilt("g" + std::to_string(i), pool);
                        for (const auto& server :
                             other.subset("encode", region_set::all()))
                        {
                            ++users[server->id];
                        }
                    }
                    CPPUNIT_ASSERT(users.size() > 850);
                });
    }

    void a_growing_pool_only_splits_groups()
    {
        const auto before = rebuilt("g1", make_pool({{"a", 20}}));
        const auto after = rebuilt("g1", make_pool({{"a", 40}}));
        const auto servers = make_pool({{"a", 20}});
        const auto& list = servers.at("encode");
        for (const auto& one : list)
        {
            for (const auto& other : list)
            {
                // Servers of different groups never join.
                CPPUNIT_ASSERT(before.group_of(*one) ==
                                   before.group_of(*other) ||
                               after.group_of(*one) != after.group_of(*other));
            }
        }
    }

private:
    static server_groups rebuilt(const std::string& instance,
                                 const server_groups::servers_by_service& pool)
    {
        server_groups result({instance, "a", {"a"}});
        result.rebuild(pool);
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_groups_test);

} // namespace mangolink::test
