#include "support/section.hpp"
#include "version/reader_schedule.hpp"

#include <random>

namespace mangolink::test
{

class reader_schedule_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reader_schedule_test);
    CPPUNIT_TEST(few_are_elected);
    CPPUNIT_TEST(reads_back_off);
    CPPUNIT_TEST_SUITE_END();

public:
    void few_are_elected()
    {
        std::mt19937_64 random(1);
        std::vector<instance_entry> list;
        list.reserve(200);
        for (int i = 0; i < 200; ++i)
        {
            list.push_back({"instance-" + std::to_string(i),
                            i % 2 == 0 ? "zone-a" : "zone-b", false});
        }
        const auto elected_in =
            [&](const std::vector<instance_entry>& instances)
        {
            std::vector<std::string> names;
            for (const auto& instance : instances)
            {
                reader_schedule schedule({instance.name, instance.zone},
                                         random);
                schedule.update_instances(instances);
                if (schedule.elected())
                {
                    names.push_back(instance.name);
                }
            }
            return names;
        };
        const auto first = elected_in(list);
        section("three readers in each zone",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(6), first.size()); });
        section("another reader replaces one that leaves",
                [&]
                {
                    for (auto& instance : list)
                    {
                        instance.leaving = instance.name == first.front();
                    }
                    std::erase_if(list, [](const instance_entry& instance)
                                  { return instance.leaving; });
                    CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                                         elected_in(list).size());
                });
        section("without an instance list every process reads",
                [&]
                {
                    const reader_schedule alone({"a", "zone-a"}, random);
                    CPPUNIT_ASSERT(alone.elected());
                });
    }

    void reads_back_off()
    {
        std::mt19937_64 random(1);
        const boot_clock::time_point start{std::chrono::hours(1)};
        const auto reads_in_a_minute = [&](read_outcome outcome)
        {
            reader_schedule schedule({"a", "zone-a"}, random);
            schedule.begin(start);
            int reads = 0;
            auto now = schedule.next_read();
            while (now < start + std::chrono::minutes(1) && reads < 1000)
            {
                ++reads;
                schedule.record_read(outcome, now);
                now = schedule.next_read();
            }
            return reads;
        };
        section("a watch is repeated without delay",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(
                        1000, reads_in_a_minute(read_outcome::timed_out));
                });
        section(
            "reads of a failing service back off", [&]
            { CPPUNIT_ASSERT(reads_in_a_minute(read_outcome::failed) < 20); });
        section("reads that return outdated values at once back off",
                [&] {
                    CPPUNIT_ASSERT(reads_in_a_minute(read_outcome::stale) < 20);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_schedule_test);

} // namespace mangolink::test
