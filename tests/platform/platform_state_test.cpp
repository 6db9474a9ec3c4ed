#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{

/// Configuration, keys and servers in use at a gateway while the store changes,
/// is unreachable or returns unreadable values.
class platform_state_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_state_test);
    CPPUNIT_TEST(revoked_keys_stop_working);
    CPPUNIT_TEST(the_last_customer_that_leaves_takes_its_keys_along);
    CPPUNIT_TEST(an_odd_customer_keeps_no_withdrawn_key_valid);
    CPPUNIT_TEST(an_empty_key_is_nobodys);
    CPPUNIT_TEST(unconfirmed_keys_are_refused);
    CPPUNIT_TEST(compacted_history_is_read_again);
    CPPUNIT_TEST(older_configurations_are_ignored);
    CPPUNIT_TEST(leaving_servers_get_no_new_work);
    CPPUNIT_TEST(invalid_values_are_ignored);
    CPPUNIT_TEST(lost_store_answers_are_retried);
    CPPUNIT_TEST_SUITE_END();

public:
    void revoked_keys_stop_working()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        CPPUNIT_ASSERT_EQUAL(200U, send_request(cluster, caller, "before"));
        cluster.configuration()["tenants"][0]["apiKeys"] = {"another"};
        cluster.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return send_request(cluster, caller, "after") == 401; }));
        const auto received = server.received().size();
        CPPUNIT_ASSERT_EQUAL(401U, send_request(cluster, caller, "still"));
        CPPUNIT_ASSERT_EQUAL(received, server.received().size());
    }

    /// Guards against a configuration without a customer that is left, or with
    /// a list that can't be read, being taken for one that asks for no keys.
    void the_last_customer_that_leaves_takes_its_keys_along()
    {
        test_cluster cluster;
        prepare(cluster);
        cluster.start_gateway();
        cluster.start_gateway();
        const auto customers = cluster.configuration()["tenants"];
        const auto status_of = [&](std::size_t gateway, const std::string& key)
        { return key_status(cluster.gateway(gateway), key); };
        for (const nlohmann::json& value :
             {nlohmann::json::array(), nlohmann::json(nullptr),
              nlohmann::json::object(), nlohmann::json("casters")})
        {
            section("customers: " + value.dump(),
                    [&]
                    {
                        cluster.configuration()["tenants"] = value;
                        cluster.publish();
                        for (const std::size_t gateway : {0U, 1U})
                        {
                            CPPUNIT_ASSERT(bench::wait_until(
                                [&] {
                                    return status_of(gateway, test_key) == 401;
                                }));
                            CPPUNIT_ASSERT_EQUAL(401U,
                                                 status_of(gateway, "no key"));
                        }
                    });
            section("a gateway that starts with it",
                    [&]
                    {
                        auto& process = cluster.gateway(1).process();
                        process.signal(SIGKILL);
                        process.wait(milliseconds(5000));
                        cluster.gateway(1).start();
                        CPPUNIT_ASSERT(bench::wait_until(
                            [&] { return cluster.gateway(1).ready(); }));
                        CPPUNIT_ASSERT_EQUAL(401U, status_of(1, test_key));
                        CPPUNIT_ASSERT_EQUAL(401U, status_of(1, "no key"));
                    });
            section("a customer that is back is served",
                    [&]
                    {
                        cluster.configuration()["tenants"] = customers;
                        cluster.publish();
                        for (const std::size_t gateway : {0U, 1U})
                        {
                            CPPUNIT_ASSERT(bench::wait_until(
                                [&] {
                                    return status_of(gateway, test_key) == 200;
                                }));
                        }
                    });
        }
        section("a configuration that contains no customers asks for no keys",
                [&]
                {
                    cluster.configuration().erase("tenants");
                    cluster.publish();
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return status_of(0, "no key") == 200; }));
                });
    }

    /// Guards against a withdrawn key that stays valid, as its version is
    /// refused for the sake of another customer.
    void an_odd_customer_keeps_no_withdrawn_key_valid()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        auto& customers = cluster.configuration()["tenants"];
        customers[0]["apiKeys"] = {"another", 7};
        customers.push_back({{"apiKeys", {"unnamed"}}});
        cluster.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return key_status(gateway, test_key) == 401; }));
        CPPUNIT_ASSERT_EQUAL(200U, key_status(gateway, "another"));
        CPPUNIT_ASSERT_EQUAL(401U, key_status(gateway, "unnamed"));
        CPPUNIT_ASSERT(bench::wait_until(
            [&] {
                return gateway.log_text().find("name is missing") !=
                       std::string::npos;
            }));
    }

    /// Guards against requests without a key that run as a customer's.
    void an_empty_key_is_nobodys()
    {
        test_cluster cluster;
        prepare(cluster);
        cluster.configuration()["tenants"][0]["apiKeys"].push_back("");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        CPPUNIT_ASSERT_EQUAL(200U, key_status(gateway, test_key));
        CPPUNIT_ASSERT_EQUAL(401U, key_status(gateway, ""));
    }

    void unconfirmed_keys_are_refused()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        cluster.add_route("/open/", "idempotent", "desk")["anonymous"] = true;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        CPPUNIT_ASSERT_EQUAL(200U, send_request(cluster, caller, "before"));
        cluster.store().set_mode(store_mode::unresponsive);
        section(
            "requests with a key are refused with Retry-After",
            [&]
            {
                CPPUNIT_ASSERT(bench::wait_until(
                    [&]
                    { return send_request(cluster, caller, "blind") == 503; }));
                const auto received = server.received().size();
                const auto answer = caller.send_request(
                    cluster.request("/orders/x", "blind-2"));
                CPPUNIT_ASSERT(answer);
                CPPUNIT_ASSERT(answer->find(http::field::retry_after) !=
                               answer->end());
                CPPUNIT_ASSERT_EQUAL(received, server.received().size());
            });
        section("an unknown route gets 503 and not 404",
                [&]
                {
                    const auto answer = caller.send_request(
                        cluster.request("/new/x", "blind-3"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
                });
        section("requests that need no key are served",
                [&]
                {
                    const auto answer =
                        caller.send_request(cluster.request("/open/x", "open"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                });
        section("the gateway is not ready meanwhile",
                [&] {
                    CPPUNIT_ASSERT(
                        bench::wait_until([&] { return !gateway.ready(); }));
                });
        cluster.store().set_mode(store_mode::serving);
        section("all requests are served again once the store answers",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return send_request(cluster, caller, "back") == 200;
                        }));
                });
        section("the log has the time and the reason",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            const auto log = gateway.log_text();
                            return log.find("Store answers again") !=
                                       std::string::npos &&
                                   log.find("configuration not confirmed") !=
                                       std::string::npos;
                        }));
                });
    }

    void compacted_history_is_read_again()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        for (int i = 0; i < 3; ++i)
        {
            const std::string prefix = "/new-" + std::to_string(i) + "/";
            cluster.add_route(prefix, "idempotent", "desk");
            cluster.publish();
            cluster.store().compact();
            section("route " + prefix,
                    [&]
                    {
                        CPPUNIT_ASSERT(bench::wait_until(
                            [&]
                            {
                                test_caller caller(gateway.callers());
                                const auto answer = caller.send_request(
                                    cluster.request(prefix + "x", "r"));
                                return answer && answer->result_int() == 200;
                            }));
                    });
        }
    }

    void older_configurations_are_ignored()
    {
        test_cluster cluster;
        prepare(cluster);
        cluster.publish();
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        auto older = cluster.configuration();
        older["version"] = 1;
        older["routes"] = nlohmann::json::array();
        cluster.store().put("op/config", older.dump());
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                return gateway.log_text().find("Older version ignored") !=
                       std::string::npos;
            }));
        CPPUNIT_ASSERT_EQUAL(200U, send_request(cluster, caller, "r1"));
    }

    void leaving_servers_get_no_new_work()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& leaving = cluster.add_backend("desk", "desk-2");
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        for (const bool announced : {true, false})
        {
            cluster.register_server("desk-2", "ready");
            CPPUNIT_ASSERT(bench::wait_until(
                [&]
                {
                    const auto before = leaving.received().size();
                    send_request(cluster, caller, "join");
                    return leaving.received().size() > before;
                }));
            if (announced)
            {
                cluster.register_server("desk-2", "draining");
            }
            else
            {
                cluster.unregister_server("desk-2");
            }
            section(announced ? "the server is draining"
                              : "the server's entry is removed",
                    [&]
                    {
                        // The store's event arrives within a few milliseconds.
                        std::this_thread::sleep_for(milliseconds(300));
                        const auto before = leaving.received().size();
                        for (int i = 0; i < 10; ++i)
                        {
                            CPPUNIT_ASSERT_EQUAL(
                                200U, send_request(cluster, caller, "stay"));
                        }
                        CPPUNIT_ASSERT_EQUAL(before, leaving.received().size());
                    });
        }
    }

    void invalid_values_are_ignored()
    {
        test_cluster cluster;
        prepare(cluster);
        const std::vector<std::string> bad{
            "not json",
            "[]",
            "{}",
            R"({"service": "desk", "address": "nowhere", "zone": "z1",
                "state": "ready", "sequence": 1})",
            R"({"service": 7, "address": "127.0.0.1:9", "zone": "z1",
                "state": "ready", "sequence": 1})",
            R"({"service": "desk", "address": "127.0.0.1:9", "zone": "z1",
                "state": "sleeping", "sequence": 1})",
            R"({"service": "desk", "address": "127.0.0.1:9", "zone": "z1",
                "state": "ready", "sequence": "one"})",
            R"({"service": "desk", "address": "127.0.0.1:99999", "zone": "z1",
                "state": "ready", "sequence": 1})",
            R"({"service": "desk", "address": "127.0.0.1:9", "zone": "z1",
                "state": "ready", "sequence": 1e300, "slots": -1})",
            std::string(100'000, '[')};
        for (std::size_t i = 0; i < bad.size(); ++i)
        {
            cluster.store().put("servers/bad-" + std::to_string(i), bad[i]);
        }
        cluster.store().put("op/other", "not a configuration");
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        cluster.store().put("op/config", "{\"version\": \"nine\"}");
        cluster.store().put("servers/late-bad", "\xff\xfe");
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send_request(cluster, caller, "r"));
        }
    }

    void lost_store_answers_are_retried()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        test_caller caller(gateway.callers());
        cluster.store().drop_answer_every(3);
        cluster.add_route("/late/", "idempotent", "desk");
        cluster.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                const auto answer =
                    caller.send_request(cluster.request("/late/x", "r"));
                return answer && answer->result_int() == 200;
            }));
    }

private:
    /// Sends a request with a key; returns the status of its answer.
    static unsigned key_status(const gateway_process& gateway,
                               const std::string& key)
    {
        test_caller caller(gateway.callers());
        auto request = test_cluster::request("/orders/x", "r");
        request.set("X-Key", key);
        const auto answer = caller.send_request(request);
        return answer ? answer->result_int() : 0;
    }

    static backend_standin& prepare(test_cluster& cluster)
    {
        auto& server = cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        return server;
    }

    static unsigned send_request(test_cluster& cluster, test_caller& caller,
                                 const std::string& id)
    {
        const auto answer =
            caller.send_request(cluster.request("/orders/x", id));
        return answer ? answer->result_int() : 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_state_test);

} // namespace mangolink::test
