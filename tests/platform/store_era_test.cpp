#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{
namespace
{

constexpr const char* configuration_key = "op/config";
constexpr const char* other_key = "another";

/// Longer than a watch and the read after it.
constexpr milliseconds reread_time{2500};

/// Longer than a disruption and the time for which servers are suspected.
constexpr milliseconds settling_time{6000};

} // namespace

/// The store comes back from an older copy: what it lost is written again, and
/// its revisions are given out again.
class store_era_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_era_test);
    CPPUNIT_TEST(revisions_given_out_again_hide_no_change);
    CPPUNIT_TEST(a_return_between_two_pages_hides_no_server);
    CPPUNIT_TEST(a_return_seen_only_in_refusals_hides_no_change);
    CPPUNIT_TEST(a_key_taken_away_stays_refused);
    CPPUNIT_TEST(a_revocation_that_was_lost_unseen_is_waited_for);
    CPPUNIT_TEST(servers_that_left_stay_unused);
    CPPUNIT_TEST(a_living_server_missing_in_the_copy_stays_in_use);
    CPPUNIT_TEST(a_follower_is_protected_too);
    CPPUNIT_TEST(a_store_without_eras_is_read_as_before);
    CPPUNIT_TEST_SUITE_END();

public:
    void revisions_given_out_again_hide_no_change()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        cluster.add_route("/two/", "idempotent", "desk");
        cluster.publish();
        expect_served(gateway, "/two/x");
        section("a version gets the revision of the one that was lost",
                [&]
                {
                    cluster.add_route("/three/", "idempotent", "desk");
                    cluster.store().come_back(
                        {{configuration_key, next_version(cluster)}});
                    expect_served(gateway, "/three/x");
                });
        section("one line of the log has both eras",
                [&]
                {
                    const std::string text = "came back from an older copy";
                    expect_logged(gateway, text);
                    const auto first = gateway.log_text().find(text);
                    std::this_thread::sleep_for(reread_time);
                    CPPUNIT_ASSERT_EQUAL(first, gateway.log_text().rfind(text));
                });
        section("the store comes back once more",
                [&]
                {
                    cluster.add_route("/four/", "idempotent", "desk");
                    cluster.store().come_back(
                        {{configuration_key, next_version(cluster)}});
                    expect_served(gateway, "/four/x");
                });
    }

    void a_return_between_two_pages_hides_no_server()
    {
        test_cluster cluster;
        prepare(cluster);
        for (const char* id : {"desk-2", "desk-3", "desk-4"})
        {
            cluster.add_backend("desk", id);
        }
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        for (int i = 0; i < 6; ++i)
        {
            cluster.register_server("desk-4", "ready");
        }
        // It sorts before the second page, at a revision of the first one.
        const backend_standin added("desk-0");
        std::vector<std::pair<std::string, std::string>> written_again{
            {"servers/desk-0", entry_of(added)}};
        for (int i = 0; i < 12; ++i)
        {
            written_again.emplace_back("other/key", std::to_string(i));
        }
        // After a failure the servers are listed anew.
        cluster.store().set_mode(store_mode::busy);
        expect_logged(gateway, "for=\"servers\"");
        cluster.store().come_back_between_pages(std::move(written_again));
        cluster.store().set_mode(store_mode::serving);
        expect_logged(gateway, "came back from an older copy");
        expect_used(gateway, added);
    }

    void a_return_seen_only_in_refusals_hides_no_change()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        cluster.add_route("/two/", "idempotent", "desk");
        cluster.publish();
        expect_served(gateway, "/two/x");
        cluster.store().set_mode(store_mode::busy);
        cluster.add_route("/three/", "idempotent", "desk");
        cluster.store().come_back({{configuration_key, next_version(cluster)}});
        expect_logged(gateway, "came back from an older copy");
        cluster.store().set_mode(store_mode::serving);
        expect_served(gateway, "/three/x");
    }

    void a_key_taken_away_stays_refused()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        revoke(cluster);
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return send_request(gateway, test_key) == 401; }));
        cluster.store().come_back();
        section("while the store has the version before",
                [&]
                {
                    const auto end = boot_clock::now() + 2 * reread_time;
                    while (boot_clock::now() < end)
                    {
                        CPPUNIT_ASSERT(send_request(gateway, test_key) >= 400);
                        std::this_thread::sleep_for(milliseconds(20));
                    }
                });
        section("which is no confirmation of the version in force",
                [&]
                {
                    CPPUNIT_ASSERT(!gateway.ready());
                    CPPUNIT_ASSERT_EQUAL(503U,
                                         send_request(gateway, other_key));
                });
        section("until the version in force is written again",
                [&]
                {
                    cluster.store().put(configuration_key,
                                        cluster.configuration().dump());
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return send_request(gateway, other_key) == 200; },
                        reread_time));
                    CPPUNIT_ASSERT_EQUAL(401U, send_request(gateway, test_key));
                });
    }

    void a_revocation_that_was_lost_unseen_is_waited_for()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        cluster.store().set_mode(store_mode::unresponsive);
        // A pending watch would still report the change.
        std::this_thread::sleep_for(reread_time);
        revoke(cluster);
        cluster.store().come_back();
        cluster.store().set_mode(store_mode::serving);
        section("the version before is not trusted at once",
                [&]
                {
                    const auto end = boot_clock::now() + milliseconds(1500);
                    while (boot_clock::now() < end)
                    {
                        CPPUNIT_ASSERT(send_request(gateway, test_key) >= 400);
                        std::this_thread::sleep_for(milliseconds(20));
                    }
                });
        section("the revocation counts when it is written again",
                [&]
                {
                    cluster.store().put(configuration_key,
                                        cluster.configuration().dump());
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return send_request(gateway, test_key) == 401; },
                        reread_time));
                });
        section("a version that was not lost is trusted after some time",
                [&]
                {
                    cluster.store().take_copy();
                    cluster.store().come_back();
                    std::this_thread::sleep_for(reread_time);
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return send_request(gateway, other_key) == 200; },
                        reread_time));
                });
    }

    void servers_that_left_stay_unused()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& draining = cluster.add_backend("desk", "desk-2");
        auto& removed = cluster.add_backend("desk", "desk-3");
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        cluster.register_server("desk-2", "draining");
        cluster.unregister_server("desk-3");
        expect_logged(gateway, "Server removed.");
        section("though the copy lists them as ready",
                [&]
                {
                    cluster.store().come_back();
                    std::this_thread::sleep_for(reread_time);
                    expect_unused(gateway, {&draining, &removed});
                });
        section("though the store comes back again later",
                [&]
                {
                    std::this_thread::sleep_for(settling_time);
                    cluster.store().come_back();
                    std::this_thread::sleep_for(reread_time);
                    expect_unused(gateway, {&draining, &removed});
                });
        section("until a removed one reports anew",
                [&]
                {
                    cluster.register_server("desk-3", "ready");
                    expect_used(gateway, removed);
                });
    }

    void a_living_server_missing_in_the_copy_stays_in_use()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().take_copy();
        auto& living = cluster.add_backend("desk", "desk-2");
        auto& silent = cluster.add_backend("desk", "desk-3");
        expect_used(gateway, living);
        expect_used(gateway, silent);
        // The lost revisions are given out again at once, so that only the era
        // tells of the loss.
        const std::string value = cluster.configuration().dump();
        cluster.store().come_back(
            {{configuration_key, value}, {configuration_key, value}});
        section("until its entry is written again",
                [&]
                {
                    expect_logged(gateway, "came back from an older copy");
                    expect_used(gateway, living);
                    cluster.register_server("desk-2", "ready");
                });
        std::this_thread::sleep_for(settling_time);
        section("and after that", [&] { expect_used(gateway, living); });
        section("but one whose entry is not written again is dropped",
                [&] { expect_unused(gateway, {&silent}); });
    }

    void a_follower_is_protected_too()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& draining = cluster.add_backend("desk", "desk-2");
        auto& removed = cluster.add_backend("desk", "desk-3");
        auto& one = cluster.start_gateway();
        auto& two = cluster.start_gateway();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return one.reads_store() != two.reads_store(); }));
        auto& follower = one.reads_store() ? two : one;
        cluster.store().take_copy();
        cluster.register_server("desk-2", "draining");
        cluster.unregister_server("desk-3");
        auto& living = cluster.add_backend("desk", "desk-4");
        revoke(cluster);
        expect_logged(follower, "Server removed.");
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return send_request(follower, test_key) == 401; }));
        cluster.store().come_back();
        section("the key that was taken away stays refused",
                [&]
                {
                    const auto end = boot_clock::now() + 2 * reread_time;
                    while (boot_clock::now() < end)
                    {
                        CPPUNIT_ASSERT(send_request(follower, test_key) >= 400);
                        std::this_thread::sleep_for(milliseconds(20));
                    }
                    CPPUNIT_ASSERT(!follower.ready());
                });
        section("what was written again counts",
                [&]
                {
                    cluster.register_server("desk-4", "ready");
                    cluster.store().put(configuration_key,
                                        cluster.configuration().dump());
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        { return send_request(follower, other_key) == 200; },
                        reread_time));
                });
        section("servers that left stay unused",
                [&]
                {
                    expect_unused(follower, {&draining, &removed}, other_key);
                    expect_used(follower, living, other_key);
                });
    }

    void a_store_without_eras_is_read_as_before()
    {
        test_cluster cluster;
        cluster.store().hide_era();
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.add_route("/two/", "idempotent", "desk");
        cluster.publish();
        expect_served(gateway, "/two/x");
        cluster.store().compact();
        cluster.add_route("/three/", "idempotent", "desk");
        cluster.publish();
        expect_served(gateway, "/three/x");
        CPPUNIT_ASSERT(gateway.log_text().find("older copy") ==
                       std::string::npos);
    }

private:
    static void prepare(test_cluster& cluster)
    {
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
    }

    /// Returns the entry of a server of "desk".
    static std::string entry_of(const backend_standin& server)
    {
        const nlohmann::json value{
            {"service", "desk"},    {"address", server.address()},
            {"zone", "z1"},         {"version", "v1"},
            {"slots", 8},           {"state", "ready"},
            {"coldRemainingMs", 0}, {"born", 1'000'000},
            {"sequence", 1}};
        return value.dump();
    }

    /// Publishes a configuration that replaces the key.
    static void revoke(test_cluster& cluster)
    {
        cluster.configuration()["tenants"][0]["apiKeys"] = {other_key};
        cluster.publish();
    }

    static std::string next_version(test_cluster& cluster)
    {
        auto& version = cluster.configuration()["version"];
        version = version.get<int>() + 1;
        return cluster.configuration().dump();
    }

    static unsigned send_request(const gateway_process& gateway,
                                 const std::string& key,
                                 const std::string& path = "/orders/x")
    {
        test_caller caller(gateway.callers());
        auto request = test_cluster::request(path, "r1");
        request.set("X-Key", key);
        const auto answer = caller.send_request(request);
        return answer ? answer->result_int() : 0;
    }

    static void expect_served(const gateway_process& gateway,
                              const std::string& path)
    {
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return send_request(gateway, test_key, path) == 200; },
            2 * reread_time));
    }

    static void expect_logged(const gateway_process& gateway,
                              const std::string& text)
    {
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return gateway.log_text().find(text) != std::string::npos; },
            2 * reread_time));
    }

    static void expect_used(const gateway_process& gateway,
                            const backend_standin& server,
                            const std::string& key = test_key)
    {
        const auto before = server.received().size();
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                send_request(gateway, key);
                return server.received().size() > before;
            },
            reread_time));
    }

    static void
    expect_unused(const gateway_process& gateway,
                  const std::vector<const backend_standin*>& servers,
                  const std::string& key = test_key)
    {
        std::vector<std::size_t> before;
        before.reserve(servers.size());
        for (const auto* server : servers)
        {
            before.push_back(server->received().size());
        }
        // Keys are not trusted until a version can be confirmed in a new era.
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return send_request(gateway, key) == 200; },
                              2 * reread_time));
        for (int i = 0; i < 30; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send_request(gateway, key));
        }
        for (std::size_t i = 0; i < servers.size(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(before[i], servers[i]->received().size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_era_test);

} // namespace mangolink::test
