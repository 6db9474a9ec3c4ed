#include "base/hash.hpp"
#include "request/direct_balancer.hpp"
#include "support/section.hpp"

#include <map>
#include <random>

namespace mangolink::test
{
namespace
{

using server_pointer = direct_balancer::server_pointer;

server_pointer server(const std::string& id, const std::string& zone)
{
    auto result = std::make_shared<backend_server>();
    result->id = id;
    result->zone = zone;
    result->slots = 8;
    return result;
}

} // namespace

class direct_balancer_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(direct_balancer_test);
    CPPUNIT_TEST(equal_servers_take_turns);
    CPPUNIT_TEST(requests_with_a_shared_prefix_use_one_server);
    CPPUNIT_TEST(large_requests_stay_in_their_region);
    CPPUNIT_TEST(failing_servers_are_ejected_and_probed);
    CPPUNIT_TEST(failures_of_one_moment_do_not_extend_an_ejection);
    CPPUNIT_TEST(a_pool_keeps_candidates_when_all_are_ejected);
    CPPUNIT_TEST(requests_prefer_the_zone_of_their_results);
    CPPUNIT_TEST(a_usable_server_with_a_rate_limit_is_preferred);
    CPPUNIT_TEST(choices_without_prompt_work_stay_as_they_were);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_usable_server_with_a_rate_limit_is_preferred()
    {
        server_preferences preferences;
        preferences.limited = {"a2"};
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("a2"), send(preferences));
        }
        preferences.excluded = {"a2"};
        CPPUNIT_ASSERT(send(preferences) != "a2");
    }

    void equal_servers_take_turns()
    {
        std::map<std::string, int> sends;
        for (int i = 0; i < 40; ++i)
        {
            ++sends[send({})];
        }
        CPPUNIT_ASSERT_EQUAL(20, sends["a1"]);
        CPPUNIT_ASSERT_EQUAL(20, sends["a2"]);
    }

    void requests_with_a_shared_prefix_use_one_server()
    {
        server_preferences preferences;
        preferences.affinity = 77;
        preferences.shared_tokens = 6000;
        const std::string first = send(preferences);
        section("all processes choose the same server",
                [&]
                {
                    direct_balancer other({"g2", "b", {"b"}});
                    for (int i = 0; i < 10; ++i)
                    {
                        CPPUNIT_ASSERT_EQUAL(first, send(preferences));
                        CPPUNIT_ASSERT_EQUAL(
                            first,
                            other.choose(servers_, preferences, now_)->id);
                    }
                });
        section("an overloaded server loses its affinity",
                [&]
                {
                    for (int i = 0; i < 20; ++i)
                    {
                        balancer_.send_started(first);
                    }
                    CPPUNIT_ASSERT(
                        first !=
                        balancer_.choose(servers_, preferences, now_)->id);
                });
        section("a short prefix is served within the zone",
                [&]
                {
                    direct_balancer fresh({"g1", "a", {"a"}});
                    preferences.shared_tokens = 300;
                    preferences.bytes = 2400;
                    for (std::uint64_t i = 1; i < 30; ++i)
                    {
                        preferences.affinity = i;
                        CPPUNIT_ASSERT_EQUAL(
                            std::string("a"),
                            fresh.choose(servers_, preferences, now_)->zone);
                    }
                });
    }

    void large_requests_stay_in_their_region()
    {
        const auto sends_to_other_region = [this](std::size_t bytes)
        {
            direct_balancer fresh({"g1", "a", {"a"}});
            server_preferences preferences;
            preferences.shared_tokens = 6000;
            preferences.bytes = bytes;
            int count = 0;
            for (std::uint64_t i = 1; i <= 30; ++i)
            {
                preferences.affinity = i;
                count += fresh.choose(servers_, preferences, now_)->zone == "b";
            }
            return count;
        };
        section("a long shared prefix may be served in another region",
                [&] { CPPUNIT_ASSERT(sends_to_other_region(9'000) > 0); });
        section("unless transferring the request costs more", [&]
                { CPPUNIT_ASSERT_EQUAL(0, sends_to_other_region(200'000)); });
    }

    void failing_servers_are_ejected_and_probed()
    {
        fail("a1", 3);
        section("an ejected server receives no requests",
                [&]
                {
                    CPPUNIT_ASSERT(balancer_.is_ejected("a1", now_));
                    for (int i = 0; i < 10; ++i)
                    {
                        CPPUNIT_ASSERT(send({}) != "a1");
                    }
                });
        now_ += milliseconds(1100);
        section("after the ejection time one request probes it",
                [&]
                {
                    int probes = 0;
                    for (int i = 0; i < 10; ++i)
                    {
                        probes +=
                            balancer_.choose(servers_, {}, now_)->id == "a1"
                                ? 1
                                : 0;
                    }
                    CPPUNIT_ASSERT_EQUAL(1, probes);
                });
        section("a success ends the ejection",
                [&]
                {
                    balancer_.send_started("a1");
                    balancer_.send_ended("a1", send_outcome::served,
                                         milliseconds(10), now_);
                    CPPUNIT_ASSERT(!balancer_.is_ejected("a1", now_));
                });
        section("shed requests are not counted as failures",
                [&]
                {
                    for (int i = 0; i < 10; ++i)
                    {
                        balancer_.send_started("a2");
                        balancer_.send_ended("a2", send_outcome::shed, {},
                                             now_);
                    }
                    CPPUNIT_ASSERT(!balancer_.is_ejected("a2", now_));
                });
    }

    void failures_of_one_moment_do_not_extend_an_ejection()
    {
        fail("a1", 20);
        now_ += milliseconds(1100);
        CPPUNIT_ASSERT(!balancer_.is_ejected("a1", now_));
        section("each probe that fails extends it",
                [&]
                {
                    fail("a1", 1);
                    now_ += milliseconds(1900);
                    CPPUNIT_ASSERT(balancer_.is_ejected("a1", now_));
                    now_ += milliseconds(200);
                    CPPUNIT_ASSERT(!balancer_.is_ejected("a1", now_));
                });
    }

    void a_pool_keeps_candidates_when_all_are_ejected()
    {
        for (const auto& one : servers_)
        {
            fail(one->id, 5);
        }
        CPPUNIT_ASSERT(balancer_.choose(servers_, {}, now_));
        server_preferences preferences;
        for (const auto& one : servers_)
        {
            preferences.excluded.push_back(one->id);
        }
        section("but no server is tried twice for a request",
                [&] {
                    CPPUNIT_ASSERT(
                        !balancer_.choose(servers_, preferences, now_));
                });
    }

    void requests_prefer_the_zone_of_their_results()
    {
        server_preferences preferences;
        preferences.bytes_in_zone["b"] = 6'000'000;
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), send(preferences));
    }

    void choices_without_prompt_work_stay_as_they_were()
    {
        std::mt19937_64 random(7);
        std::vector<server_pointer> servers;
        for (int i = 0; i < 12; ++i)
        {
            const std::string zone(1, "abc"[i % 3]);
            servers.push_back(server("s" + std::to_string(i), zone));
        }
        direct_balancer balancer({"g1", "a", {"a", "b"}});
        std::vector<std::string> open;
        running_digest choices;
        for (int i = 0; i < 4000; ++i)
        {
            now_ += milliseconds(random() % 8);
            server_preferences preferences;
            preferences.affinity = random() % 20;
            preferences.shared_tokens = random() % 7000;
            preferences.bytes = random() % 20'000;
            preferences.bytes_in_zone["b"] = random() % 300'000;
            preferences.excluded = {servers[random() % 12]->id};
            const auto chosen = balancer.choose(servers, preferences, now_);
            choices.add(chosen->id);
            balancer.send_started(chosen->id);
            open.push_back(chosen->id);
            while (open.size() > random() % 40)
            {
                const auto outcome = static_cast<send_outcome>(
                    random() % 10 < 8 ? 0 : random() % 5);
                balancer.send_ended(open.front(), outcome,
                                    milliseconds(1 + random() % 300), now_);
                open.erase(open.begin());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7937582049573516377},
                             choices.value());
    }

private:
    std::string send(const server_preferences& preferences)
    {
        const auto chosen = balancer_.choose(servers_, preferences, now_);
        balancer_.send_started(chosen->id);
        balancer_.send_ended(chosen->id, send_outcome::served, milliseconds(10),
                             now_);
        return chosen->id;
    }

    void fail(const std::string& id, int times)
    {
        for (int i = 0; i < times; ++i)
        {
            balancer_.send_started(id);
            balancer_.send_ended(id, send_outcome::failed, {}, now_);
        }
    }

    boot_clock::time_point now_{std::chrono::hours(1)};
    std::vector<server_pointer> servers_{server("a1", "a"), server("a2", "a"),
                                         server("b1", "b")};
    direct_balancer balancer_{{"g1", "a", {"a"}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(direct_balancer_test);

} // namespace mangolink::test
