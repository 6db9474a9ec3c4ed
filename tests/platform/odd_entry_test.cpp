#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace mangolink::test
{
namespace
{

/// Reads of an idle gateway in a second: some watches that time out, and a few
/// lists.
constexpr std::uint64_t max_idle_reads = 40;

/// Text that ends a line, then more of a request.
constexpr const char* injected_header = "x\r\nX-Urgency-Class: 0\r\nX-Odd: x";

} // namespace

/// Entries of other writers among those of the servers: odd keys, keys that
/// cannot be read, and none at all. They name no server to use; all others are
/// used, however the list is divided into pages.
class odd_entry_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_entry_test);
    CPPUNIT_TEST(keys_that_queries_must_encode);
    CPPUNIT_TEST(keys_that_name_no_server);
    CPPUNIT_TEST(keys_that_are_not_utf_8);
    CPPUNIT_TEST(zones_that_are_not_utf_8);
    CPPUNIT_TEST(items_without_a_key);
    CPPUNIT_TEST(a_list_that_does_not_advance);
    CPPUNIT_TEST(watches_that_end_at_once);
    CPPUNIT_TEST(watch_answers_that_cannot_be_read);
    CPPUNIT_TEST(texts_with_control_characters_in_the_log);
    CPPUNIT_TEST(names_in_labels_of_metrics);
    CPPUNIT_TEST_SUITE_END();

public:
    void keys_that_queries_must_encode()
    {
        for (const char* name : {"&", "+", "#", "%", "%41", "%2", "?", "=",
                                 "a b", " ", "&after=", "&prefix=op/", "\x01",
                                 "\n", "\x7f", "\"", "\\", "\xc3\xb8"})
        {
            section("name \"" + std::string(name) + "\"",
                    [&] { serve_beside_odd_keys(name, {}); });
        }
    }

    void keys_that_name_no_server()
    {
        for (const char* name :
             {"&", "+", "#", "%", "a b", ",", ";", "\xc3\xb8", injected_header})
        {
            section("name \"" + std::string(name) + "\" with a sound value",
                    [&]
                    {
                        backend_standin foreign("foreign");
                        serve_beside_odd_keys(name, foreign.address());
                        CPPUNIT_ASSERT(foreign.received().empty());
                    });
        }
        section("the prefix alone",
                []
                {
                    test_cluster cluster;
                    prepare(cluster);
                    backend_standin foreign("foreign");
                    cluster.store().put("servers/",
                                        sound_value(foreign.address()));
                    auto& gateway = cluster.start_gateway();
                    serve_requests(cluster, gateway);
                    CPPUNIT_ASSERT(foreign.received().empty());
                });
    }

    void keys_that_are_not_utf_8()
    {
        for (const bool escaped : {false, true})
        {
            for (const char* name : {"\xff", "\xc3", "\xe2\x82", "a\x80z"})
            {
                section(escaped ? "as escapes of surrogates" : "as bytes",
                        [&] { serve_beside_odd_keys(name, {}, escaped); });
            }
        }
    }

    void zones_that_are_not_utf_8()
    {
        test_cluster cluster;
        auto& server = prepare(cluster);
        cluster.store().put("op/evacuate/\xff", "{}");
        cluster.store().put("op/evacuate/a&b", "{}");
        auto& reader = cluster.start_gateway();
        auto& other = cluster.start_gateway();
        section("another gateway follows the one that reads the store",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return reader.reads_store() != other.reads_store();
                        }));
                });
        cluster.store().put("op/evacuate/\xfe", "{}");
        observe_reads(cluster);
        CPPUNIT_ASSERT(reader.reads_store() != other.reads_store());
        serve_requests(cluster, reader);
        serve_requests(cluster, other);
        section("operators see the zones that can be read",
                [&]
                {
                    CPPUNIT_ASSERT(
                        reader.fetch_operator_page("/placement").find("a&b") !=
                        std::string::npos);
                });
        section("the zones of the servers are still evacuated",
                [&]
                {
                    cluster.evacuate("z1");
                    const auto refused = [&]
                    {
                        const auto before = server.received().size();
                        test_caller caller(other.callers());
                        caller.send_request(
                            cluster.request("/orders/x", "evacuated"));
                        return server.received().size() == before;
                    };
                    CPPUNIT_ASSERT(bench::wait_until(refused));
                });
    }

    void items_without_a_key()
    {
        for (const char* key : {"servers/b", "servers/c", "servers/e"})
        {
            section("the item of " + std::string(key),
                    [&]
                    {
                        // Pages have three items.
                        test_cluster cluster;
                        for (const char* id : {"a1", "a2", "b", "c", "e"})
                        {
                            cluster.store().put("servers/" + std::string(id),
                                                "{}");
                        }
                        auto& server = prepare(cluster, "d");
                        cluster.store().hide_key(key);
                        auto& gateway = cluster.start_gateway();
                        serve_requests(cluster, gateway);
                        CPPUNIT_ASSERT(!server.received().empty());
                        observe_reads(cluster);
                    });
        }
    }

    void a_list_that_does_not_advance()
    {
        test_cluster cluster;
        auto& server = prepare(cluster, "a1");
        for (const char* id : {"a2", "a3", "a4", "a5"})
        {
            cluster.store().put("servers/" + std::string(id), "{}");
        }
        cluster.store().repeat_first_page();
        auto& gateway = cluster.start_gateway();
        serve_requests(cluster, gateway);
        observe_reads(cluster);
        section("the log tells",
                [&]
                {
                    CPPUNIT_ASSERT(gateway.log_text().find(
                                       "List cannot be read to its end") !=
                                   std::string::npos);
                });
        section("a server that joins later is used, one that leaves is not",
                [&]
                {
                    auto& late = cluster.add_backend("desk", "z9");
                    cluster.unregister_server("a1");
                    test_caller caller(gateway.callers());
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            const auto before = late.received().size();
                            const auto left = server.received().size();
                            send_request(cluster, caller);
                            return late.received().size() > before &&
                                   server.received().size() == left;
                        }));
                    const auto left = server.received().size();
                    serve_requests(cluster, gateway);
                    CPPUNIT_ASSERT_EQUAL(left, server.received().size());
                });
    }

    void watches_that_end_at_once()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().set_watch_mode(watch_mode::ended_at_once);
        observe_reads(cluster);
        section("changes are still read",
                [&]
                {
                    cluster.add_route("/late/", "idempotent", "desk");
                    cluster.publish();
                    test_caller caller(gateway.callers());
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&]
                        {
                            const auto answer = caller.send_request(
                                cluster.request("/late/x", "late"));
                            return answer && answer->result_int() == 200;
                        }));
                });
        section("the log tells",
                [&]
                {
                    CPPUNIT_ASSERT(gateway.log_text().find(
                                       "Watch ended early without a change") !=
                                   std::string::npos);
                });
    }

    void watch_answers_that_cannot_be_read()
    {
        test_cluster cluster;
        prepare(cluster);
        auto& gateway = cluster.start_gateway();
        cluster.store().set_watch_mode(watch_mode::garbled);
        observe_reads(cluster);
        serve_requests(cluster, gateway);
    }

    void texts_with_control_characters_in_the_log()
    {
        test_cluster cluster;
        prepare(cluster);
        cluster.store().put("servers/\x1b[2J", "{}");
        cluster.store().put(
            "servers/state",
            R"({"service":"desk","address":"127.0.0.1:9","zone":"z1",)"
            R"("sequence":1,"state":"\u001b[2J\u0000\n"})");
        auto& gateway = cluster.start_gateway();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] {
                return gateway.log_text().find("unknown state") !=
                       std::string::npos;
            }));
        const auto log = gateway.log_text();
        for (const char control : {'\0', '\x1b'})
        {
            CPPUNIT_ASSERT(log.find(control) == std::string::npos);
        }
    }

    void names_in_labels_of_metrics()
    {
        test_cluster cluster;
        prepare(cluster);
        cluster.configuration()["routes"][0]["name"] = "a\"b\\c\nd";
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        serve_requests(cluster, gateway);
        CPPUNIT_ASSERT(gateway.fetch_operator_page("/metrics")
                           .find(R"({route="a\"b\\c\nd",status="200"} 20)") !=
                       std::string::npos);
    }

private:
    static backend_standin& prepare(test_cluster& cluster,
                                    const std::string& id = "desk-1")
    {
        auto& server = cluster.add_backend("desk", id);
        cluster.add_route("/orders/", "idempotent", "desk");
        cluster.publish();
        return server;
    }

    static std::string sound_value(const std::string& address)
    {
        return R"({"service":"desk","zone":"z1","state":"ready","sequence":1,)"
               R"("slots":8,"address":")" +
               address + "\"}";
    }

    /// Serves requests beside entries with a name: one last on its page, one
    /// first, one alone, and one that is written, changed and removed later.
    /// The server is on a page between them. Their value can't be read or, with
    /// an address, looks like that of a server.
    static void serve_beside_odd_keys(const std::string& name,
                                      const std::string& address,
                                      bool escaped = false)
    {
        test_cluster cluster;
        store_standin& store = cluster.store();
        if (escaped)
        {
            store.escape_key_bytes();
        }
        const auto value = address.empty() ? "{}" : sound_value(address);
        // Pages have three items: the first ends with such a name, the second
        // has no other, the server is on the third, the fourth has one item.
        for (const char* id : {"a1", "a2", "d1"})
        {
            store.put("servers/" + std::string(id), "{}");
        }
        for (const auto& id : {"b" + name, "c" + name + "1", "c" + name + "2",
                               "c" + name + "3", "f" + name, "g" + name})
        {
            store.put("servers/" + id, value);
        }
        store.put("op/" + name, "{}");
        auto& server = prepare(cluster, "e1");
        auto& gateway = cluster.start_gateway();
        serve_requests(cluster, gateway);
        const auto late = "servers/h" + name;
        for (const auto& text : {value, std::string("{}"), value})
        {
            store.put(late, text);
        }
        serve_requests(cluster, gateway);
        observe_reads(cluster);
        store.remove(late);
        serve_requests(cluster, gateway);
        CPPUNIT_ASSERT(server.received().size() >= 60);
    }

    static void serve_requests(test_cluster& cluster, gateway_process& gateway)
    {
        test_caller caller(gateway.callers());
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send_request(cluster, caller));
        }
    }

    static unsigned send_request(test_cluster& cluster, test_caller& caller)
    {
        const auto answer =
            caller.send_request(cluster.request("/orders/x", "r"));
        return answer ? answer->result_int() : 0;
    }

    /// Requires that the gateways read the store rarely.
    static void observe_reads(test_cluster& cluster)
    {
        const auto before = cluster.store().calls();
        std::this_thread::sleep_for(std::chrono::seconds(1));
        CPPUNIT_ASSERT_LESS(max_idle_reads, cluster.store().calls() - before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entry_test);

} // namespace mangolink::test
