#include "connection/async_http_client.hpp"
#include "lab/child_process.hpp"
#include "process/memory_account.hpp"
#include "process/memory_budget.hpp"
#include "support/guarded.hpp"
#include "support/process_memory.hpp"
#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <unistd.h>

namespace mangolink::test
{

/// Messages that declare a length and send few bytes or none.
class declared_length_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(declared_length_test);
    CPPUNIT_TEST(a_length_that_a_model_server_declares_ends_no_process);
    CPPUNIT_TEST(a_length_that_a_stage_server_declares_ends_no_process);
    CPPUNIT_TEST(a_length_that_the_store_declares_is_not_reserved);
    CPPUNIT_TEST(lengths_that_callers_declare_are_not_reserved);
    CPPUNIT_TEST(lengths_that_peers_declare_are_not_reserved);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_length_that_a_model_server_declares_ends_no_process()
    {
        test_cluster cluster;
        guarded<std::string> answer;
        standin_server faulty(
            [&answer](const text_request& request,
                      const standin_server::reply& reply)
            {
                const std::string id(request["X-Attempt-Id"]);
                scripted_answer script;
                script.parts.push_back(
                    {"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                         "\r\nX-Response-Seal: seal\r\n" + answer.value(),
                     {}});
                script.end = answer_end::unresponsive;
                reply(std::move(script));
            });
        cluster.add_backend("faulty", "faulty-1");
        cluster.set_address("faulty-1", faulty.address().text());
        cluster.add_backend("desk", "desk-1").set_delay(milliseconds(200));
        cluster.add_route("/faulty/", "non_idempotent", "faulty");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller kept(gateway.callers());
        int number = 0;
        for (const auto& length : unreasonable_lengths)
        {
            for (const auto* type : {"text/plain", "text/event-stream"})
            {
                for (const std::size_t sent : {0, 64 * 1024})
                {
                    answer.set(std::string("Content-Type: ") + type +
                               "\r\nContent-Length: " + length + "\r\n\r\n" +
                               std::string(sent, 'x'));
                    const std::string id = "r" + std::to_string(++number);
                    section(std::string(type) + " of " + length +
                                " bytes, of which are sent: " +
                                std::to_string(sent),
                            [&]
                            {
                                const auto status = answer_status(
                                    cluster, gateway, "/faulty/x", id);
                                CPPUNIT_ASSERT(status == 502 || status == 504);
                                assert_served(cluster, kept, "sound-" + id);
                            });
                }
            }
        }
    }

    void a_length_that_a_stage_server_declares_ends_no_process()
    {
        test_cluster cluster;
        guarded<std::string> length;
        std::atomic<int> calls{0};
        standin_server faulty(
            [&](const text_request& request, const standin_server::reply& reply)
            {
                if (request.method() == http::verb::get)
                {
                    reply(scripted_answer::of(200, R"({"availableMb":100})"));
                    return;
                }
                ++calls;
                scripted_answer script;
                script.parts.push_back(
                    {"HTTP/1.1 200 OK\r\nContent-Length: " + length.value() +
                         "\r\n\r\n" + std::string(64UL * 1024, ' '),
                     {}});
                script.end = answer_end::unresponsive;
                reply(std::move(script));
            });
        cluster.add_backend("engine", "engine-1").set_stream(2, {});
        cluster.add_backend("desk", "desk-1");
        cluster.add_stage_server("encode", "encode-1", milliseconds(5));
        cluster.set_address("encode-1", faulty.address().text());
        cluster.add_stage(cluster.add_route("/talk/", "streaming", "engine"));
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        test_caller kept(gateway.callers());
        int number = 0;
        for (const auto& value : unreasonable_lengths)
        {
            length.set(value);
            const std::string id = "r" + std::to_string(++number);
            section(value,
                    [&]
                    {
                        test_caller caller(gateway.callers());
                        const auto response =
                            caller.send_request(test_cluster::staged_request(
                                "/talk/x", id, "2", milliseconds(900)));
                        CPPUNIT_ASSERT(response);
                        CPPUNIT_ASSERT_EQUAL(503U, response->result_int());
                        CPPUNIT_ASSERT(calls > 0);
                        assert_served(cluster, kept, "sound-" + id);
                    });
        }
    }

    void a_length_that_the_store_declares_is_not_reserved()
    {
        standin_server store(
            [](const text_request&, const standin_server::reply& reply)
            {
                scripted_answer script;
                script.parts.push_back(
                    {"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n{",
                     {}});
                script.end = answer_end::unresponsive;
                reply(std::move(script));
            });
        asio::io_context io{1};
        memory_budget memory(64UL * 1024 * 1024, [](const auto&) {});
        async_http_client client(io, store.address(), memory);
        const auto before = process_memory(::getpid(), "VmPeak");
        bool failed = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                const auto result = co_await client.call(
                    "/v1/x", milliseconds(0), milliseconds(300));
                failed = !result.ok();
            },
            asio::detached);
        io.run();
        CPPUNIT_ASSERT(failed);
        const auto grown = process_memory(::getpid(), "VmPeak") - before;
        CPPUNIT_ASSERT(grown < max_grown_bytes);
    }

    void lengths_that_callers_declare_are_not_reserved()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.configuration()["limits"]["maxBodyBytes"] = 4'000'000;
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        assert_not_reserved(gateway, gateway.callers(), "4000000");
        test_caller caller(gateway.callers());
        assert_served(cluster, caller, "sound");
    }

    void lengths_that_peers_declare_are_not_reserved()
    {
        test_cluster cluster;
        cluster.add_backend("desk", "desk-1");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.publish();
        auto& gateway = cluster.start_gateway();
        const auto peers = socket_address::parse(gateway.peers());
        for (const auto& address :
             {*peers, gateway.readiness(), gateway.operators()})
        {
            section(address.text(),
                    [&] { assert_not_reserved(gateway, address, "1000000"); });
        }
        test_caller caller(gateway.callers());
        assert_served(cluster, caller, "sound");
    }

private:
    static constexpr std::uint64_t max_grown_bytes = 24 * 1024 * 1024;

    /// From more than an answer may have up to the largest number of 63 bits.
    inline static const std::vector<std::string> unreasonable_lengths = {
        "30000000000", "1000000000000000", "9223372036854775807", "17000000"};

    static unsigned answer_status(test_cluster& cluster,
                                  gateway_process& gateway,
                                  const std::string& path,
                                  const std::string& id)
    {
        test_caller caller(gateway.callers());
        const auto response =
            caller.send_request(cluster.request(path, id, milliseconds(600)));
        return response ? response->result_int() : 0;
    }

    static void assert_served(test_cluster& cluster, test_caller& caller,
                              const std::string& id)
    {
        const auto response =
            caller.send_request(cluster.request("/orders/x", id));
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(200U, response->result_int());
    }

    /// Asserts that requests which declare a length, and send one byte of it,
    /// take little of the address space of the gateway.
    static void assert_not_reserved(gateway_process& gateway,
                                    const socket_address& address,
                                    const std::string& length)
    {
        constexpr std::size_t count = 100;
        const pid_t process = gateway.process().id();
        const auto before = process_memory(process, "VmPeak");
        std::vector<std::unique_ptr<test_caller>> senders;
        senders.reserve(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            senders.push_back(std::make_unique<test_caller>(address));
            CPPUNIT_ASSERT(senders.back()->send(
                "POST /x HTTP/1.1\r\nHost: site.example\r\nContent-Length: " +
                length + "\r\n\r\nx"));
        }
        std::this_thread::sleep_for(milliseconds(300));
        CPPUNIT_ASSERT(gateway.process().running());
        const auto grown = process_memory(process, "VmPeak") - before;
        CPPUNIT_ASSERT(grown < max_grown_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(declared_length_test);

} // namespace mangolink::test
