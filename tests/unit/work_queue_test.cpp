#include "request/work_queue.hpp"
#include "support/section.hpp"

namespace mangolink::test
{
namespace
{

queued_work item(std::uint64_t id, const std::string& customer,
                 std::uint32_t weight, std::uint32_t priority = 5)
{
    queued_work result;
    result.id = static_cast<call_id>(id);
    result.customer = customer;
    result.weight = weight;
    result.priority = priority;
    result.work = milliseconds(10);
    return result;
}

} // namespace

class work_queue_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(work_queue_test);
    CPPUNIT_TEST(shares_are_kept);
    CPPUNIT_TEST(calls_are_ordered_by_priority);
    CPPUNIT_TEST_SUITE_END();

public:
    void shares_are_kept()
    {
        work_queue queue;
        for (std::uint64_t i = 0; i < 100; ++i)
        {
            queue.push(item(i, "large", 1));
            queue.push(item(1000 + i, "small", 3));
        }
        int small = 0;
        for (int i = 0; i < 40; ++i)
        {
            small += queue.pop()->customer == "small" ? 1 : 0;
        }
        section("a weight of three gets three of four calls",
                [&] { CPPUNIT_ASSERT(small >= 29 && small <= 31); });
        section("an idle customer does not accumulate credit",
                [&]
                {
                    for (std::uint64_t i = 0; i < 10; ++i)
                    {
                        queue.push(item(2000 + i, "late", 1));
                    }
                    int late = 0;
                    for (int i = 0; i < 10; ++i)
                    {
                        late += queue.pop()->customer == "late" ? 1 : 0;
                    }
                    CPPUNIT_ASSERT(late >= 1 && late <= 3);
                });
    }

    void calls_are_ordered_by_priority()
    {
        work_queue queue;
        queue.push(item(1, "a", 1, 5));
        queue.push(item(2, "a", 1, 0));
        queue.push(item(3, "a", 1, 0));
        section("removed work is not returned",
                [&]
                {
                    CPPUNIT_ASSERT(queue.remove(static_cast<call_id>(3)));
                    CPPUNIT_ASSERT(!queue.remove(static_cast<call_id>(3)));
                });
        section("a higher priority precedes an earlier arrival",
                [&]
                {
                    CPPUNIT_ASSERT(queue.pop()->id == static_cast<call_id>(2));
                    CPPUNIT_ASSERT(queue.pop()->id == static_cast<call_id>(1));
                    CPPUNIT_ASSERT(!queue.pop());
                    CPPUNIT_ASSERT(queue.total_work() == microseconds(0));
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_queue_test);

} // namespace mangolink::test
