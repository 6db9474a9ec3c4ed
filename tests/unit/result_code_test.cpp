#include "base/result_code.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace mangolink::test
{

class result_code_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(result_code_test);
    CPPUNIT_TEST(table_is_in_order);
    CPPUNIT_TEST(page_lists_every_code);
    CPPUNIT_TEST_SUITE_END();

public:
    void table_is_in_order()
    {
        const auto by_code = [](const result_info& a, const result_info& b)
        { return a.code < b.code; };
        CPPUNIT_ASSERT(std::is_sorted(result_table().begin(),
                                      result_table().end(), by_code));
        CPPUNIT_ASSERT(result_code_from_wire(4242) == result_code::no_answer);
    }

    void page_lists_every_code()
    {
        std::ifstream page(SOURCE_DIRECTORY "/docs/result-codes.md");
        std::ostringstream content;
        content << page.rdbuf();
        for (const auto& info : result_table())
        {
            const std::string line =
                "| " + std::to_string(static_cast<unsigned>(info.code)) +
                " | `" + std::string(info.name) + "` | " +
                std::to_string(info.http_status) + " | " +
                std::string(info.meaning) + " |";
            CPPUNIT_ASSERT_MESSAGE(line, content.str().find(line) !=
                                             std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(result_code_test);

} // namespace mangolink::test
