#include "request/answer_history.hpp"
#include "support/section.hpp"

namespace mangolink::test
{

/// Copies of answers on one connection.
class answer_history_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_history_test);
    CPPUNIT_TEST(a_result_is_named_once);
    CPPUNIT_TEST(it_ends_before_it_forgets);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_result_is_named_once()
    {
        CPPUNIT_ASSERT(history_.add({"1/a", "1/b"}));
        CPPUNIT_ASSERT(history_.add({}));
        CPPUNIT_ASSERT(!history_.add({"1/a", "1/b"}));
        section("also among others",
                [&] {
                    CPPUNIT_ASSERT(!history_.add({"1/c", "1/b"}));
                });
        section("also within one answer",
                [&] {
                    CPPUNIT_ASSERT(!history_.add({"1/d", "1/d"}));
                });
    }

    void it_ends_before_it_forgets()
    {
        constexpr int more_than_fit = 100'000;
        int added = 0;
        while (!history_.full() && added < more_than_fit)
        {
            CPPUNIT_ASSERT(history_.add({std::to_string(added++)}));
        }
        CPPUNIT_ASSERT(history_.full());
        CPPUNIT_ASSERT(!history_.add({"0"}));
    }

private:
    answer_history history_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_history_test);

} // namespace mangolink::test
