#include "process/backend_directory.hpp"
#include "support/section.hpp"

namespace mangolink::test
{
namespace
{

constexpr milliseconds expiry_time{2000};

backend_server make_entry(const std::string& id, std::uint64_t started,
                          std::uint64_t sequence, bool leaving = false)
{
    backend_server result;
    result.id = id;
    result.service = "desk";
    result.address = {"127.0.0.1", 9000};
    result.zone = "z1";
    result.started_ms = started;
    result.sequence = sequence;
    result.leaving = leaving;
    return result;
}

} // namespace

class backend_directory_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_directory_test);
    CPPUNIT_TEST(leaving_servers_are_not_used);
    CPPUNIT_TEST(a_mark_outlasts_the_entries_of_its_start);
    CPPUNIT_TEST(late_reports_change_nothing);
    CPPUNIT_TEST(repeated_reports_bring_no_server_back);
    CPPUNIT_TEST(a_server_may_return_under_its_id);
    CPPUNIT_TEST(expired_entries_may_return);
    CPPUNIT_TEST(a_list_of_thousands_is_applied_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void leaving_servers_are_not_used()
    {
        CPPUNIT_ASSERT(directory_change::joined ==
                       directory_.put(make_entry("s1", 5, 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
        CPPUNIT_ASSERT(directory_change::none ==
                       directory_.put(make_entry("s1", 5, 2)));
        CPPUNIT_ASSERT(directory_change::leaving ==
                       directory_.put(make_entry("s1", 5, 3, true)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable());
        CPPUNIT_ASSERT(!directory_.find("s1"));
        CPPUNIT_ASSERT(!directory_.find_address("127.0.0.1:9000"));
        section("until a later report says that they stay",
                [&]
                {
                    CPPUNIT_ASSERT(directory_change::updated ==
                                   directory_.put(make_entry("s1", 5, 4)));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
                });
    }

    void a_mark_outlasts_the_entries_of_its_start()
    {
        section(
            "a known server",
            [&]
            {
                directory_.put(make_entry("s1", 5, 1));
                CPPUNIT_ASSERT(directory_change::leaving ==
                               directory_.mark_leaving(make_entry("s1", 5, 1)));
                CPPUNIT_ASSERT(directory_change::none ==
                               directory_.mark_leaving(make_entry("s1", 5, 1)));
                directory_.put(make_entry("s1", 5, 2));
                CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable());
            });
        section("an entry that was removed and is back",
                [&]
                {
                    directory_.remove("s1", false, now_);
                    directory_.put(make_entry("s1", 5, 3));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable());
                });
        section("another start",
                [&]
                {
                    CPPUNIT_ASSERT(directory_change::restarted ==
                                   directory_.put(make_entry("s1", 6, 1)));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
                });
        section("a late answer of the start before",
                [&]
                {
                    CPPUNIT_ASSERT(
                        directory_change::none ==
                        directory_.mark_leaving(make_entry("s1", 5, 1)));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
                });
        section("a server without an entry",
                [&]
                {
                    CPPUNIT_ASSERT(
                        directory_change::none ==
                        directory_.mark_leaving(make_entry("s2", 5, 1)));
                    directory_.put(make_entry("s2", 5, 2));
                    CPPUNIT_ASSERT(!directory_.find("s2"));
                });
    }

    void a_list_of_thousands_is_applied_at_once()
    {
        constexpr std::size_t count = 5000;
        // Every gateway reads the list at its start, and all may start at once.
        constexpr milliseconds limit{2000};
        std::vector<backend_server> list;
        for (std::size_t i = 0; i < count; ++i)
        {
            list.push_back(make_entry("s" + std::to_string(i), 5, 1));
        }
        const auto begin = boot_clock::now();
        directory_.replace_all(std::move(list), false, begin);
        CPPUNIT_ASSERT_EQUAL(count, usable());
        CPPUNIT_ASSERT(boot_clock::now() - begin < limit);
    }

    void late_reports_change_nothing()
    {
        directory_.put(make_entry("s1", 5, 3, true));
        section("an older report of a leaving server",
                [&]
                {
                    CPPUNIT_ASSERT(directory_change::outdated ==
                                   directory_.put(make_entry("s1", 5, 2)));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable());
                });
        section("an older report of a removed server",
                [&]
                {
                    directory_.remove("s1", false, now_);
                    CPPUNIT_ASSERT(directory_change::outdated ==
                                   directory_.put(make_entry("s1", 5, 2)));
                    CPPUNIT_ASSERT(directory_change::outdated ==
                                   directory_.put(make_entry("s1", 4, 9)));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable());
                });
    }

    void repeated_reports_bring_no_server_back()
    {
        directory_.put(make_entry("s1", 5, 3, true));
        directory_.put(make_entry("s2", 5, 3));
        directory_.put(make_entry("s3", 5, 3));
        section("of a leaving server",
                [&]
                {
                    CPPUNIT_ASSERT(directory_change::outdated ==
                                   directory_.put(make_entry("s1", 5, 3)));
                    CPPUNIT_ASSERT(!directory_.find("s1"));
                });
        section("of one that was removed while the store was sound",
                [&]
                {
                    directory_.remove("s1", false, now_);
                    directory_.remove("s2", false, now_);
                    directory_.put(make_entry("s1", 5, 3, true));
                    directory_.replace_all({make_entry("s1", 5, 3),
                                            make_entry("s2", 5, 3),
                                            make_entry("s3", 5, 3)},
                                           true, now_);
                    CPPUNIT_ASSERT(!directory_.find("s1"));
                    CPPUNIT_ASSERT(!directory_.find("s2"));
                });
        section("but one that only expired may be listed as before",
                [&]
                {
                    directory_.remove("s3", true, now_);
                    directory_.expire(now_ + expiry_time);
                    CPPUNIT_ASSERT(!directory_.find("s3"));
                    directory_.put(make_entry("s3", 5, 3));
                    CPPUNIT_ASSERT(directory_.find("s3"));
                });
        section("and a later report or start brings one back",
                [&]
                {
                    directory_.put(make_entry("s1", 6, 1));
                    directory_.put(make_entry("s2", 5, 4));
                    directory_.put(make_entry("s2", 5, 4));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable());
                });
    }

    void a_server_may_return_under_its_id()
    {
        directory_.put(make_entry("s1", 5, 30));
        CPPUNIT_ASSERT(directory_change::restarted ==
                       directory_.put(make_entry("s1", 6, 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
    }

    void expired_entries_may_return()
    {
        directory_.put(make_entry("s1", 5, 1));
        directory_.put(make_entry("s2", 5, 1));
        section("an entry removed without disruption is dropped at once",
                [&]
                {
                    CPPUNIT_ASSERT(directory_change::removed ==
                                   directory_.remove("s1", false, now_));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
                });
        section(
            "an entry removed during a disruption is usable until it expires",
            [&]
            {
                CPPUNIT_ASSERT(directory_change::suspected ==
                               directory_.remove("s2", true, now_));
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
                CPPUNIT_ASSERT(
                    directory_.expire(now_ + expiry_time - milliseconds(1))
                        .empty());
            });
        section("an entry that returned does not expire",
                [&]
                {
                    directory_.put(make_entry("s2", 5, 2));
                    CPPUNIT_ASSERT(
                        directory_.expire(now_ + expiry_time).empty());
                });
        section("an entry that did not return expires",
                [&]
                {
                    directory_.replace_all({}, true, now_);
                    directory_.replace_all({}, true, now_ + milliseconds(900));
                    CPPUNIT_ASSERT_EQUAL(
                        std::size_t(1),
                        directory_.expire(now_ + expiry_time).size());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable());
                });
    }

private:
    std::size_t usable() const
    {
        return directory_.servers("desk", region_set::all()).size();
    }

    boot_clock::time_point now_{std::chrono::hours(1)};
    backend_directory directory_{expiry_time};
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_directory_test);

} // namespace mangolink::test
