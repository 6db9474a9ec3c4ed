#include "support/platform_site.hpp"
#include "support/story.hpp"

#include <thread>

namespace mangolink::test
{

/// What a gateway believes of configuration, keys and servers while the store
/// changes, is away or can't be read.
class belief_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(belief_test);
    CPPUNIT_TEST(keys_that_are_taken_away_stop_working);
    CPPUNIT_TEST(without_confirmation_no_key_is_trusted);
    CPPUNIT_TEST(dropped_history_is_read_again);
    CPPUNIT_TEST(an_older_configuration_changes_nothing);
    CPPUNIT_TEST(leaving_servers_get_no_new_work);
    CPPUNIT_TEST(unreadable_values_name_no_server);
    CPPUNIT_TEST(lost_answers_of_the_store_are_borne);
    CPPUNIT_TEST_SUITE_END();

public:
    void keys_that_are_taken_away_stop_working()
    {
        platform_site site;
        auto& server = prepare(site);
        auto& gateway = site.start_gateway();
        test_caller caller(gateway.callers());
        CPPUNIT_ASSERT_EQUAL(200U, ask(site, caller, "before"));
        site.configuration()["tenants"][0]["apiKeys"] = {"another"};
        site.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return ask(site, caller, "after") == 401; }));
        const auto seen = server.seen().size();
        CPPUNIT_ASSERT_EQUAL(401U, ask(site, caller, "still"));
        CPPUNIT_ASSERT_EQUAL(seen, server.seen().size());
    }

    void without_confirmation_no_key_is_trusted()
    {
        platform_site site;
        auto& server = prepare(site);
        site.add_route("/open/", "idempotent", "desk")["anonymous"] = true;
        site.publish();
        auto& gateway = site.start_gateway();
        test_caller caller(gateway.callers());
        CPPUNIT_ASSERT_EQUAL(200U, ask(site, caller, "before"));
        site.store().set_mode(store_mode::silent);
        section("requests with a key are refused, with a time to return",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return ask(site, caller, "blind") == 503; }));
                    const auto seen = server.seen().size();
                    const auto answer =
                        caller.ask(site.request("/orders/x", "blind-2"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT(answer->find(http::field::retry_after) !=
                                   answer->end());
                    CPPUNIT_ASSERT_EQUAL(seen, server.seen().size());
                });
        section("an unknown route is not denied by an old configuration",
                [&]
                {
                    const auto answer =
                        caller.ask(site.request("/new/x", "blind-3"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
                });
        section("requests that need no key are served",
                [&]
                {
                    const auto answer =
                        caller.ask(site.request("/open/x", "open"));
                    CPPUNIT_ASSERT(answer);
                    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
                });
        section("it is not ready meanwhile",
                [&] {
                    CPPUNIT_ASSERT(
                        bench::wait_until([&] { return !gateway.ready(); }));
                });
        site.store().set_mode(store_mode::serving);
        section("all is served again after the store's return",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return ask(site, caller, "back") == 200; }));
                });
        section("the log tells when and why",
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

    void dropped_history_is_read_again()
    {
        platform_site site;
        prepare(site);
        auto& gateway = site.start_gateway();
        for (int i = 0; i < 3; ++i)
        {
            const std::string prefix = "/new-" + std::to_string(i) + "/";
            site.add_route(prefix, "idempotent", "desk");
            site.publish();
            site.store().compact();
            section("route " + prefix,
                    [&]
                    {
                        CPPUNIT_ASSERT(bench::wait_until(
                            [&]
                            {
                                test_caller caller(gateway.callers());
                                const auto answer =
                                    caller.ask(site.request(prefix + "x", "r"));
                                return answer && answer->result_int() == 200;
                            }));
                    });
        }
    }

    void an_older_configuration_changes_nothing()
    {
        platform_site site;
        prepare(site);
        site.publish();
        site.publish();
        auto& gateway = site.start_gateway();
        test_caller caller(gateway.callers());
        auto older = site.configuration();
        older["version"] = 1;
        older["routes"] = nlohmann::json::array();
        site.store().put("op/config", older.dump());
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                return gateway.log_text().find("Older version ignored") !=
                       std::string::npos;
            }));
        CPPUNIT_ASSERT_EQUAL(200U, ask(site, caller, "r1"));
    }

    void leaving_servers_get_no_new_work()
    {
        platform_site site;
        prepare(site);
        auto& leaving = site.add_backend("desk", "desk-2");
        auto& gateway = site.start_gateway();
        test_caller caller(gateway.callers());
        for (const bool said : {true, false})
        {
            site.register_server("desk-2", "ready");
            CPPUNIT_ASSERT(bench::wait_until(
                [&]
                {
                    const auto before = leaving.seen().size();
                    ask(site, caller, "join");
                    return leaving.seen().size() > before;
                }));
            if (said)
            {
                site.register_server("desk-2", "draining");
            }
            else
            {
                site.unregister_server("desk-2");
            }
            section(said ? "it said that it leaves" : "its entry is gone",
                    [&]
                    {
                        // The store's event takes a few milliseconds.
                        std::this_thread::sleep_for(milliseconds(300));
                        const auto before = leaving.seen().size();
                        for (int i = 0; i < 10; ++i)
                        {
                            CPPUNIT_ASSERT_EQUAL(200U,
                                                 ask(site, caller, "stay"));
                        }
                        CPPUNIT_ASSERT_EQUAL(before, leaving.seen().size());
                    });
        }
    }

    void unreadable_values_name_no_server()
    {
        platform_site site;
        prepare(site);
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
                "state": "ready", "sequence": "one"})"};
        for (std::size_t i = 0; i < bad.size(); ++i)
        {
            site.store().put("servers/bad-" + std::to_string(i), bad[i]);
        }
        site.store().put("op/other", "not a configuration");
        auto& gateway = site.start_gateway();
        test_caller caller(gateway.callers());
        site.store().put("op/config", "{\"version\": \"nine\"}");
        site.store().put("servers/late-bad", "\xff\xfe");
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, ask(site, caller, "r"));
        }
    }

    void lost_answers_of_the_store_are_borne()
    {
        platform_site site;
        prepare(site);
        auto& gateway = site.start_gateway();
        test_caller caller(gateway.callers());
        site.store().lose_every(3);
        site.add_route("/late/", "idempotent", "desk");
        site.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&]
            {
                const auto answer = caller.ask(site.request("/late/x", "r"));
                return answer && answer->result_int() == 200;
            }));
    }

private:
    static backend_standin& prepare(platform_site& site)
    {
        auto& server = site.add_backend("desk", "desk-1");
        site.add_route("/orders/", "idempotent", "desk");
        site.publish();
        return server;
    }

    static unsigned ask(platform_site& site, test_caller& caller,
                        const std::string& id)
    {
        const auto answer = caller.ask(site.request("/orders/x", id));
        return answer ? answer->result_int() : 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(belief_test);

} // namespace mangolink::test
