#include "connection/backend_client.hpp"
#include "support/section.hpp"

namespace mangolink::test
{

class backend_client_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_client_test);
    CPPUNIT_TEST(wait_reports_no_ended_calls);
    CPPUNIT_TEST_SUITE_END();

public:
    void wait_reports_no_ended_calls()
    {
        int ended = 0;
        backend_answer last;
        backend_client client(
            {.base_url = "http://127.0.0.1:1"},
            {[](call_id, const std::string&, std::uint32_t) {},
             [&](call_id, const backend_answer& answer)
             {
                 ++ended;
                 last = answer;
             }});
        backend_call call;
        call.id = static_cast<call_id>(1);
        call.time_limit = milliseconds(5000);
        client.start(call);
        section("wait() does not report a call that ends at once",
                [&]
                {
                    for (int i = 0; i < 20; ++i)
                    {
                        client.wait(-1, -1, milliseconds(1));
                    }
                    CPPUNIT_ASSERT_EQUAL(0, ended);
                });
        section("perform() reports it, with proof that nothing was sent",
                [&]
                {
                    while (ended == 0)
                    {
                        client.perform();
                        client.wait(-1, -1, milliseconds(1));
                    }
                    CPPUNIT_ASSERT(!last.handed_over);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_client_test);

} // namespace mangolink::test
