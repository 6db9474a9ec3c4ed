#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <csignal>
#include <thread>

namespace mangolink::test
{

/// Propagation of updates in a zone: one gateway reads the store, the others
/// follow it.
class updates_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(updates_test);
    CPPUNIT_TEST(one_process_of_a_zone_reads_the_store);
    CPPUNIT_TEST(a_reader_that_dies_is_replaced);
    CPPUNIT_TEST(a_reader_that_pauses_hides_no_revocation);
    CPPUNIT_TEST(a_reader_without_the_store_is_not_followed);
    CPPUNIT_TEST(a_missing_configuration_is_watched_by_one_process);
    CPPUNIT_TEST(nobody_refuses_between_two_confirmations);
    CPPUNIT_TEST(a_congested_link_to_the_store_delays_no_change_for_long);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_process_of_a_zone_reads_the_store()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& leaving = cluster.add_backend("desk", "desk-2");
        auto& follower = follower_of(cluster);
        section(
            "a new route reaches the follower",
            [&]
            {
                cluster.add_route("/new/", "idempotent", "desk");
                cluster.publish();
                CPPUNIT_ASSERT(bench::wait_until(
                    [&]
                    { return send_request(follower, "/new/x", "r1") == 200; }));
            });
        section(
            "a revoked key stops working at the follower",
            [&]
            {
                cluster.configuration()["tenants"][0]["apiKeys"] = {"other"};
                cluster.publish();
                CPPUNIT_ASSERT(bench::wait_until(
                    [&]
                    { return send_request(follower, "/new/x", "r2") == 401; }));
                cluster.configuration()["tenants"][0]["apiKeys"] = {test_key};
                cluster.publish();
                CPPUNIT_ASSERT(bench::wait_until(
                    [&]
                    { return send_request(follower, "/new/x", "r3") == 200; }));
            });
        section("a draining server gets no new requests from the follower",
                [&]
                {
                    cluster.register_server("desk-2", "draining");
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return follower.log_text().find("leaving") !=
                                   std::string::npos;
                        }));
                    const auto received = leaving.received().size();
                    for (int i = 0; i < 10; ++i)
                    {
                        CPPUNIT_ASSERT_EQUAL(
                            200U, send_request(follower, "/new/x", "stay"));
                    }
                    CPPUNIT_ASSERT_EQUAL(received, leaving.received().size());
                });
        section("the follower still does not read the store",
                [&] { CPPUNIT_ASSERT(!follower.reads_store()); });
    }

    void a_reader_that_dies_is_replaced()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& follower = follower_of(cluster);
        reader_of(cluster, follower).process().signal(SIGKILL);
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return follower.reads_store(); }));
        cluster.add_route("/new/", "idempotent", "desk");
        cluster.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return send_request(follower, "/new/x", "r1") == 200; }));
    }

    void a_reader_that_pauses_hides_no_revocation()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& follower = follower_of(cluster);
        auto& reader = reader_of(cluster, follower);
        CPPUNIT_ASSERT_EQUAL(200U,
                             send_request(follower, "/orders/x", "before"));
        reader.process().signal(SIGSTOP);
        cluster.configuration()["tenants"][0]["apiKeys"] = {"other"};
        cluster.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            { return send_request(follower, "/orders/x", "after") == 401; }));
        reader.process().signal(SIGCONT);
        section("the reader does not restore the key when it continues",
                [&]
                {
                    for (int i = 0; i < 50; ++i)
                    {
                        CPPUNIT_ASSERT_EQUAL(
                            401U, send_request(follower, "/orders/x", "still"));
                    }
                });
    }

    void a_reader_without_the_store_is_not_followed()
    {
        test_cluster cluster;
        auto& second_store = cluster.add_store();
        prepare(cluster);
        auto& one = cluster.start_gateway({}, second_store.address());
        auto& two = cluster.start_gateway();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return one.reads_store() != two.reads_store(); }));
        // The current reader loses its store; the follower has another one.
        auto& follower = one.reads_store() ? two : one;
        auto& disconnected_store =
            one.reads_store() ? second_store : cluster.store();
        disconnected_store.set_mode(store_mode::unresponsive);
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return follower.reads_store(); }));
        cluster.add_route("/new/", "idempotent", "desk");
        cluster.publish();
        section(
            "updates still reach the follower",
            [&]
            {
                CPPUNIT_ASSERT(bench::wait_until(
                    [&]
                    { return send_request(follower, "/new/x", "r1") == 200; }));
            });
        section(
            "the follower stops reading once the store of the reader is back",
            [&]
            {
                disconnected_store.set_mode(store_mode::serving);
                CPPUNIT_ASSERT(
                    bench::wait_until([&] { return !follower.reads_store(); }));
                CPPUNIT_ASSERT_EQUAL(200U,
                                     send_request(follower, "/new/x", "r2"));
            });
    }

    void a_missing_configuration_is_watched_by_one_process()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        gateway_process one("gateway-1", cluster.store().address(), {},
                            cluster.folder(), {});
        gateway_process two("gateway-2", cluster.store().address(),
                            {one.peers()}, cluster.folder(), {});
        for (const auto* gateway : {&one, &two})
        {
            CPPUNIT_ASSERT(bench::wait_until(
                [&] {
                    return gateway->log_text().find("Started.") !=
                           std::string::npos;
                }));
        }
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return one.reads_store() != two.reads_store(); }));
        section(
            "with no calls but the watches of the configuration and servers",
            [&]
            {
                constexpr int seconds = 4;
                const auto before = cluster.store().calls();
                std::this_thread::sleep_for(std::chrono::seconds(seconds));
                CPPUNIT_ASSERT(cluster.store().calls() - before <= 2 * seconds);
            });
        section("both serve soon after it is published",
                [&]
                {
                    cluster.publish();
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return one.ready() && two.ready(); }));
                    for (auto* gateway : {&one, &two})
                    {
                        CPPUNIT_ASSERT_EQUAL(
                            200U, send_request(*gateway, "/orders/x", "r1"));
                    }
                });
    }

    void nobody_refuses_between_two_confirmations()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& follower = follower_of(cluster);
        auto& reader = reader_of(cluster, follower);
        const auto assert_served = [&](const gateway_process& gateway)
        {
            const auto end = boot_clock::now() + milliseconds(3000);
            while (boot_clock::now() < end)
            {
                CPPUNIT_ASSERT_EQUAL(200U,
                                     send_request(gateway, "/orders/x", "r"));
                std::this_thread::sleep_for(milliseconds(20));
            }
        };
        section("at a follower", [&] { assert_served(follower); });
        for (int change = 0; change < 3; ++change)
        {
            section("at the reader after a change",
                    [&]
                    {
                        cluster.publish();
                        assert_served(reader);
                    });
        }
    }

    void a_congested_link_to_the_store_delays_no_change_for_long()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        for (const auto latency : {milliseconds(300), milliseconds(1200)})
        {
            cluster.store().set_latency(latency);
            std::this_thread::sleep_for(latency * 2);
            const std::string name = std::to_string(latency.count());
            section(name + " ms until an answer arrives",
                    [&]
                    {
                        const std::string path = "/" + name + "/";
                        cluster.add_route(path, "idempotent", "desk");
                        cluster.publish();
                        CPPUNIT_ASSERT(bench::wait_until(
                            [&]
                            { return send_request(gateway, path, "r") == 200; },
                            configuration_limit));
                    });
        }
    }

private:
    /// Time in which a change is in force everywhere.
    static constexpr milliseconds configuration_limit{4000};

    static void prepare(test_cluster& cluster)
    {
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
    }

    /// Starts two gateways and returns the one that does not read the store.
    static gateway_process& follower_of(test_cluster& cluster)
    {
        auto& one = cluster.start_gateway();
        auto& two = cluster.start_gateway();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return one.reads_store() != two.reads_store(); }));
        return one.reads_store() ? two : one;
    }

    static gateway_process& reader_of(test_cluster& cluster,
                                      const gateway_process& follower)
    {
        return &cluster.gateway(0) == &follower ? cluster.gateway(1)
                                                : cluster.gateway(0);
    }

    static unsigned send_request(const gateway_process& gateway,
                                 const std::string& path, const std::string& id)
    {
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(test_cluster::request(path, id));
        return answer ? answer->result_int() : 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(updates_test);

} // namespace mangolink::test
