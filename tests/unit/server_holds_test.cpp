#include "process/backend_server.hpp"
#include "process/server_holds.hpp"
#include "support/section.hpp"

namespace mangolink::test
{

/// Holds of servers by their start, and their ends.
class server_holds_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_holds_test);
    CPPUNIT_TEST(a_hold_ends_with_its_time_or_start);
    CPPUNIT_TEST(the_first_end_counts_if_all_are_held);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_hold_ends_with_its_time_or_start()
    {
        const auto server = make_server("s1", 5);
        CPPUNIT_ASSERT(holds_.hold(*server, milliseconds(800), now_));
        section("a shorter one changes nothing",
                [&]
                {
                    CPPUNIT_ASSERT(
                        !holds_.hold(*server, milliseconds(100), now_));
                    CPPUNIT_ASSERT(holds_.remaining(*server, now_) ==
                                   milliseconds(800));
                });
        section("it lasts to its last moment",
                [&]
                {
                    const auto end = now_ + milliseconds(800);
                    CPPUNIT_ASSERT(holds_.is_held(
                        *server, end - std::chrono::microseconds(1)));
                    CPPUNIT_ASSERT(!holds_.is_held(*server, end));
                });
        section("another start is not held",
                [&]
                {
                    const auto next = make_server("s1", 6);
                    CPPUNIT_ASSERT(!holds_.is_held(*next, now_));
                    CPPUNIT_ASSERT(holds_.hold(*next, milliseconds(100), now_));
                    CPPUNIT_ASSERT(
                        !holds_.hold(*server, milliseconds(900), now_));
                    CPPUNIT_ASSERT(holds_.remaining(*next, now_) ==
                                   milliseconds(100));
                });
    }

    void the_first_end_counts_if_all_are_held()
    {
        const auto one = make_server("s1", 5);
        const auto two = make_server("s2", 5);
        CPPUNIT_ASSERT(!holds_.remaining_of_all({}, now_));
        holds_.hold(*one, milliseconds(800), now_);
        CPPUNIT_ASSERT(!holds_.remaining_of_all({one, two}, now_));
        holds_.hold(*two, milliseconds(300), now_);
        CPPUNIT_ASSERT(holds_.remaining_of_all({one, two}, now_) ==
                       milliseconds(300));
    }

private:
    static std::shared_ptr<const backend_server>
    make_server(const std::string& id, std::uint64_t started_ms)
    {
        auto server = std::make_shared<backend_server>();
        server->id = id;
        server->started_ms = started_ms;
        return server;
    }

    boot_clock::time_point now_{std::chrono::hours(1)};
    server_holds holds_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_holds_test);

} // namespace mangolink::test
