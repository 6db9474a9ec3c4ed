#include "process/backend_directory.hpp"
#include "process/zone_evacuations.hpp"
#include "support/section.hpp"

namespace mangolink::test
{
namespace
{

backend_server make_server(const std::string& id, const std::string& zone,
                           std::uint64_t sequence = 1)
{
    backend_server result;
    result.id = id;
    result.service = "engine";
    result.address = {"127.0.0.1", 9000};
    result.zone = zone;
    result.sequence = sequence;
    return result;
}

} // namespace

/// Zones that operators empty and take back.
class zone_evacuations_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_evacuations_test);
    CPPUNIT_TEST(an_older_list_changes_nothing);
    CPPUNIT_TEST(a_list_that_may_lack_some_ends_nothing);
    CPPUNIT_TEST(processes_with_the_same_zones_have_one_digest);
    CPPUNIT_TEST(servers_of_an_evacuated_zone_get_no_work);
    CPPUNIT_TEST(servers_of_a_zone_taken_back_are_taken_for_cold);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_older_list_changes_nothing()
    {
        zone_evacuations evacuations;
        evacuations.replace({}, {1, 100}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             evacuations.begin("a", 101, now_).begun.size());
        evacuations.confirm({1, 101});
        section(
            "a reader that has not seen the request yet",
            [&]
            {
                CPPUNIT_ASSERT(evacuations.replace({}, {1, 100}, now_).empty());
                CPPUNIT_ASSERT(evacuations.zones().contains("a"));
            });
        section("a request that is repeated is no change", [&]
                { CPPUNIT_ASSERT(evacuations.begin("a", 105, now_).empty()); });
        section(
            "a reader that has seen the end",
            [&]
            {
                const auto changes = evacuations.replace({}, {1, 130}, now_);
                CPPUNIT_ASSERT_EQUAL(std::string("a"),
                                     changes.ended.at(0).zone);
            });
        section("a lower revision of a later era is newer",
                [&]
                {
                    evacuations.replace({{"b", 7}}, {2, 9}, now_);
                    CPPUNIT_ASSERT(evacuations.zones().contains("b"));
                });
    }

    void a_list_that_may_lack_some_ends_nothing()
    {
        zone_evacuations evacuations;
        evacuations.begin("a", 5, now_);
        CPPUNIT_ASSERT(evacuations.add({{"b", 6}}, now_).ended.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), evacuations.all().size());
    }

    void processes_with_the_same_zones_have_one_digest()
    {
        zone_evacuations one;
        zone_evacuations other;
        CPPUNIT_ASSERT_EQUAL(one.digest(), other.digest());
        one.begin("a", 5, now_);
        CPPUNIT_ASSERT(one.digest() != other.digest());
        one.begin("b", 6, now_);
        other.replace({{"b", 6}, {"a", 5}}, {1, 6}, now_);
        CPPUNIT_ASSERT_EQUAL(one.digest(), other.digest());
    }

    void servers_of_an_evacuated_zone_get_no_work()
    {
        directory_.put(make_server("s1", "a"));
        directory_.put(make_server("s2", "b"));
        directory_.set_evacuated_zones({"a", "nowhere"}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
        CPPUNIT_ASSERT(!directory_.find("s1"));
        section("nor does one that joins",
                [&]
                {
                    directory_.put(make_server("s3", "a"));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable());
                });
        section("all are back with their zone",
                [&]
                {
                    directory_.set_evacuated_zones({}, now_);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable());
                });
    }

    void servers_of_a_zone_taken_back_are_taken_for_cold()
    {
        directory_.put(make_server("s1", "a"));
        directory_.put(make_server("s2", "b"));
        directory_.set_evacuated_zones({"a"}, now_);
        directory_.set_evacuated_zones({}, now_);
        const auto soon = now_ + milliseconds(500);
        CPPUNIT_ASSERT(directory_.find("s1")->is_cold(soon));
        CPPUNIT_ASSERT(!directory_.find("s2")->is_cold(soon));
        section("also after a report that may be from before",
                [&]
                {
                    directory_.put(make_server("s1", "a", 2));
                    CPPUNIT_ASSERT(directory_.find("s1")->is_cold(soon));
                });
        section("until they would have told",
                [&]
                {
                    CPPUNIT_ASSERT(!directory_.find("s1")->is_cold(
                        now_ + milliseconds(3000)));
                });
    }

private:
    std::size_t usable() const
    {
        return directory_.servers("engine", region_set::all()).size();
    }

    const boot_clock::time_point now_{std::chrono::hours(1)};
    backend_directory directory_{milliseconds(2000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_evacuations_test);

} // namespace mangolink::test
