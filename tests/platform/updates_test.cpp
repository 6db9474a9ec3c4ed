#include "support/platform_site.hpp"
#include "support/story.hpp"

#include <csignal>

namespace mangolink::test
{

/// Gateways of a zone: one reads the store, the others follow it.
class updates_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(updates_test);
    CPPUNIT_TEST(one_process_of_a_zone_reads_the_store);
    CPPUNIT_TEST(a_reader_that_dies_is_replaced);
    CPPUNIT_TEST(a_reader_that_pauses_hides_no_revocation);
    CPPUNIT_TEST(a_reader_without_the_store_is_not_followed);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_process_of_a_zone_reads_the_store()
    {
        platform_site site;
        prepare(site);
        auto& leaving = site.add_backend("desk", "desk-2");
        auto& follower = follower_of(site);
        section("a new route reaches the other",
                [&]
                {
                    site.add_route("/new/", "idempotent", "desk");
                    site.publish();
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return ask(follower, "/new/x", "r1") == 200; }));
                });
        section("a key that is taken away stops working there",
                [&]
                {
                    site.configuration()["tenants"][0]["apiKeys"] = {"other"};
                    site.publish();
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return ask(follower, "/new/x", "r2") == 401; }));
                    site.configuration()["tenants"][0]["apiKeys"] = {test_key};
                    site.publish();
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return ask(follower, "/new/x", "r3") == 200; }));
                });
        section("a server that leaves gets no new work from there",
                [&]
                {
                    site.register_server("desk-2", "draining");
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return follower.log_text().find("leaving") !=
                                   std::string::npos;
                        }));
                    const auto seen = leaving.seen().size();
                    for (int i = 0; i < 10; ++i)
                    {
                        CPPUNIT_ASSERT_EQUAL(200U,
                                             ask(follower, "/new/x", "stay"));
                    }
                    CPPUNIT_ASSERT_EQUAL(seen, leaving.seen().size());
                });
        section("it still follows",
                [&] { CPPUNIT_ASSERT(!follower.reads_store()); });
    }

    void a_reader_that_dies_is_replaced()
    {
        platform_site site;
        prepare(site);
        auto& follower = follower_of(site);
        reader_of(site, follower).process().signal(SIGKILL);
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return follower.reads_store(); }));
        site.add_route("/new/", "idempotent", "desk");
        site.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return ask(follower, "/new/x", "r1") == 200; }));
    }

    void a_reader_that_pauses_hides_no_revocation()
    {
        platform_site site;
        prepare(site);
        auto& follower = follower_of(site);
        auto& reader = reader_of(site, follower);
        CPPUNIT_ASSERT_EQUAL(200U, ask(follower, "/orders/x", "before"));
        reader.process().signal(SIGSTOP);
        site.configuration()["tenants"][0]["apiKeys"] = {"other"};
        site.publish();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return ask(follower, "/orders/x", "after") == 401; }));
        reader.process().signal(SIGCONT);
        section("nor brings the key back when it goes on",
                [&]
                {
                    for (int i = 0; i < 50; ++i)
                    {
                        CPPUNIT_ASSERT_EQUAL(
                            401U, ask(follower, "/orders/x", "still"));
                    }
                });
    }

    void a_reader_without_the_store_is_not_followed()
    {
        platform_site site;
        auto& cut_off = site.add_store();
        prepare(site);
        auto& one = site.start_gateway({}, cut_off.address());
        auto& two = site.start_gateway();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return one.reads_store() != two.reads_store(); }));
        // Whichever reads loses the store; the other has its own way to it.
        auto& follower = one.reads_store() ? two : one;
        auto& lost = one.reads_store() ? cut_off : site.store();
        lost.set_mode(store_mode::silent);
        CPPUNIT_ASSERT(
            bench::wait_until([&] { return follower.reads_store(); }));
        site.add_route("/new/", "idempotent", "desk");
        site.publish();
        section("news reach it all the same",
                [&]
                {
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return ask(follower, "/new/x", "r1") == 200; }));
                });
        section("and it is followed no earlier than the store is back",
                [&]
                {
                    lost.set_mode(store_mode::serving);
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] { return !follower.reads_store(); }));
                    CPPUNIT_ASSERT_EQUAL(200U, ask(follower, "/new/x", "r2"));
                });
    }

private:
    static void prepare(platform_site& site)
    {
        site.add_backend("desk", "desk-1");
        site.add_route("/orders/", "idempotent", "desk");
        site.publish();
    }

    /// Starts two gateways and returns the one that follows the other.
    static gateway_process& follower_of(platform_site& site)
    {
        auto& one = site.start_gateway();
        auto& two = site.start_gateway();
        CPPUNIT_ASSERT(bench::wait_until(
            [&] { return one.reads_store() != two.reads_store(); }));
        return one.reads_store() ? two : one;
    }

    static gateway_process& reader_of(platform_site& site,
                                      const gateway_process& follower)
    {
        return &site.gateway(0) == &follower ? site.gateway(1)
                                             : site.gateway(0);
    }

    static unsigned ask(const gateway_process& gateway, const std::string& path,
                        const std::string& id)
    {
        test_caller caller(gateway.callers());
        const auto answer = caller.ask(platform_site::request(path, id));
        return answer ? answer->result_int() : 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(updates_test);

} // namespace mangolink::test
