#include "connection/async_http_client.hpp"
#include "connection/listening_socket.hpp"
#include "process/memory_account.hpp"
#include "process/memory_budget.hpp"
#include "standins/standin_server.hpp"
#include "support/section.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace mangolink::test
{

/// Calls to the store by a process whose event loop has much else to do.
class busy_process_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(busy_process_test);
    CPPUNIT_TEST(a_busy_process_reads_a_large_value_of_the_store_in_time);
    CPPUNIT_TEST(a_silent_store_is_given_up_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_busy_process_reads_a_large_value_of_the_store_in_time()
    {
        for (const std::size_t kilobytes : {1, 48, 400})
        {
            section(std::to_string(kilobytes) + " KB",
                    [&] { assert_complete(kilobytes, milliseconds(20)); });
        }
        section("48 KB by a process that is late",
                [&] { assert_complete(48, milliseconds(200)); });
    }

    void a_silent_store_is_given_up_in_time()
    {
        standin_server store(
            [](const text_request&, const standin_server::reply& reply)
            {
                scripted_answer script;
                script.end = answer_end::unresponsive;
                reply(std::move(script));
            });
        section("by an idle process at its limit",
                [&]
                {
                    const auto outcome = call_store(store, {});
                    CPPUNIT_ASSERT(!outcome.answer.ok());
                    CPPUNIT_ASSERT(outcome.took >= call_limit);
                    CPPUNIT_ASSERT(outcome.took < call_limit * 3 / 2);
                });
        section("by a busy process, too",
                [&]
                {
                    const auto outcome = call_store(store, milliseconds(20));
                    CPPUNIT_ASSERT(!outcome.answer.ok());
                    CPPUNIT_ASSERT(outcome.took < call_limit * 3 / 2);
                });
    }

private:
    static constexpr milliseconds call_limit{1000};

    struct call_outcome final
    {
        async_http_client::result answer;
        milliseconds took{0};
    };

    class answering_store final
    {
    public:
        explicit answering_store(std::size_t bytes)
            : value_(bytes, 'x'),
              server_([this](const text_request&,
                             const standin_server::reply& reply)
                      { reply(scripted_answer::of(200, value_)); })
        {
        }

        const standin_server& server() const { return server_; }
        const std::string& value() const { return value_; }

    private:
        std::string value_;
        standin_server server_;
    };

    static void assert_complete(std::size_t kilobytes, milliseconds pass_time)
    {
        const answering_store store(kilobytes * 1024);
        const auto outcome = call_store(store.server(), pass_time);
        CPPUNIT_ASSERT_EQUAL(std::string(), outcome.answer.ok()
                                                ? std::string()
                                                : outcome.answer.reason());
        CPPUNIT_ASSERT(store.value() == outcome.answer.answer.body());
    }

    /// Calls the store on an event loop in which each pass takes that long.
    static call_outcome call_store(const standin_server& store,
                                   std::optional<milliseconds> pass_time)
    {
        asio::io_context io{1};
        memory_budget memory(64UL * 1024 * 1024, [](const auto&) {});
        async_http_client client(io, store.address(), memory);
        call_outcome outcome;
        bool done = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                const auto begin = std::chrono::steady_clock::now();
                outcome.answer =
                    co_await client.call("/v1/x", milliseconds(0), call_limit);
                outcome.took = std::chrono::duration_cast<milliseconds>(
                    std::chrono::steady_clock::now() - begin);
                done = true;
            },
            asio::detached);
        const std::function<void()> other_work = [&]
        {
            std::this_thread::sleep_for(*pass_time);
            if (!done)
            {
                asio::post(io, other_work);
            }
        };
        if (pass_time)
        {
            asio::post(io, other_work);
        }
        io.run();
        return outcome;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(busy_process_test);

} // namespace mangolink::test
