#include "base/socket_address.hpp"
#include "connection/peer_router.hpp"
#include "lab/deployment.hpp"
#include "support/foundry_configuration.hpp"
#include "support/section.hpp"
#include "wire/mangolink.pb.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

namespace mangolink::test
{
namespace
{

using nlohmann::json;
using namespace mangolink::bench;

constexpr const char* valid_body = R"({"input": "tin"})";

/// TCP connection of a caller that may send malformed or incomplete requests.
class raw_caller final
{
public:
    explicit raw_caller(const std::string& text)
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in where = socket_address::parse(text)->native();
        const auto* generic = reinterpret_cast<const sockaddr*>(&where);
        if (connect(socket_, generic, sizeof where) != 0)
        {
            throw std::runtime_error("cannot connect to " + text);
        }
    }
    ~raw_caller() { close(socket_); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    bool send(const std::string& bytes) const
    {
        return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
    }

    std::string receive_all() const
    {
        std::string text;
        char buffer[4096];
        for (ssize_t count = 0;
             (count = recv(socket_, buffer, sizeof buffer, 0)) > 0;)
        {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    int socket_;
};

} // namespace

class bad_peer_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bad_peer_test);
    CPPUNIT_TEST(agent_survives_bad_frames);
    CPPUNIT_TEST(slow_callers_are_refused);
    CPPUNIT_TEST(truncated_and_malformed_requests);
    CPPUNIT_TEST(caller_that_disconnects);
    CPPUNIT_TEST_SUITE_END();

public:
    void agent_survives_bad_frames()
    {
        deployment system({{"enc-1", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        const std::string agent =
            system.first_value()["backend_servers"]["enc-1"]["agent"];
        peer_router unknown_peer({.route = "stranger"});
        unknown_peer.connect(agent, "agent");
        const auto reply_to = [&](const std::string& bytes)
        {
            CPPUNIT_ASSERT(
                wait_until([&] { return unknown_peer.send("agent", bytes); }));
            wire::envelope reply;
            CPPUNIT_ASSERT(wait_until(
                [&]
                {
                    const auto message = unknown_peer.receive();
                    return message && reply.ParseFromString(message->bytes);
                }));
            return reply;
        };
        wire::envelope submit;
        submit.set_schema(1);
        submit.set_sender(5);
        submit.mutable_submit()->set_request_id("0123456789abcdef");
        section("malformed messages are dropped",
                [&]
                {
                    unknown_peer.send("agent", "\xff\xfe garbage");
                    unknown_peer.send("agent", "");
                    wire::envelope short_id = submit;
                    short_id.mutable_submit()->set_request_id("short");
                    unknown_peer.send("agent", short_id.SerializeAsString());
                });
        section("a submit for another incarnation is refused with proof",
                [&]
                {
                    const auto reply = reply_to(submit.SerializeAsString());
                    CPPUNIT_ASSERT(reply.has_refused());
                    CPPUNIT_ASSERT_EQUAL(1302U, reply.refused().code());
                });
        section("a newer schema is refused with its code",
                [&]
                {
                    wire::envelope newer = submit;
                    newer.set_schema(2);
                    const auto reply = reply_to(newer.SerializeAsString());
                    CPPUNIT_ASSERT(reply.has_refused());
                    CPPUNIT_ASSERT_EQUAL(1107U, reply.refused().code());
                });
        section(
            "an oversized frame closes only its own connection",
            [&]
            {
                unknown_peer.send("agent", std::string(8'000'000, 'x'));
                CPPUNIT_ASSERT_EQUAL(
                    200U,
                    system.request("entry-1", "question", valid_body).status);
                CPPUNIT_ASSERT(system.process("enc-1").running());
            });
        section("only the valid request ran",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         system.executions().size());
                });
    }

    void slow_callers_are_refused()
    {
        deployment system({{"enc-1", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all({"entry.read_limit_ms=1000"});
        const std::string head =
            "POST /v1/pipelines/question/requests HTTP/1.1\r\nHost: a\r\n"
            "Mangolink-Customer: caster\r\nContent-Length: 900000\r\n\r\n";
        const auto send_slowly = [&](const std::string& first)
        {
            const raw_caller caller(system.caller_address("entry-1"));
            caller.send(first);
            std::string answer;
            std::thread reader([&] { answer = caller.receive_all(); });
            // Sending fails once the entry has closed the connection.
            wait_until([&] { return !caller.send("x"); });
            reader.join();
            return answer;
        };
        section("a caller with a slow body gets code 1112",
                [&]
                {
                    const std::string answer = send_slowly(head + "{");
                    CPPUNIT_ASSERT(answer.find("1112") != std::string::npos);
                });
        section("a caller with incomplete headers gets code 1112",
                [&]
                {
                    const std::string answer = send_slowly(head.substr(0, 60));
                    CPPUNIT_ASSERT(answer.find("1112") != std::string::npos);
                });
        section(
            "other callers are served",
            [&]
            {
                CPPUNIT_ASSERT_EQUAL(
                    200U,
                    system.request("entry-1", "question", valid_body).status);
            });
    }

    void truncated_and_malformed_requests()
    {
        deployment system({{"enc-1", "encoders"}},
                          pipelines_named({"question"}), foundry_customers());
        system.start_all();
        const std::string address = system.caller_address("entry-1");
        section("bytes that are not HTTP close the connection",
                [&]
                {
                    const raw_caller caller(address);
                    caller.send("\x16\x03\x01 not http\r\n\r\n");
                    caller.receive_all();
                });
        section("a request with an incomplete body does not run",
                [&]
                {
                    const raw_caller caller(address);
                    caller.send("POST /v1/pipelines/question/requests "
                                "HTTP/1.1\r\nHost: a\r\nMangolink-Customer: "
                                "caster\r\nContent-Length: 900\r\n\r\n{\"in");
                });
        section("oversized headers are refused",
                [&]
                {
                    const raw_caller caller(address);
                    caller.send("GET / HTTP/1.1\r\nHost: a\r\nLong: " +
                                std::string(100'000, 'a') + "\r\n\r\n");
                    caller.receive_all();
                });
        section(
            "the entry still serves, and only this request ran",
            [&]
            {
                CPPUNIT_ASSERT_EQUAL(
                    200U,
                    system.request("entry-1", "question", valid_body).status);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                     system.executions().size());
            });
    }

    void caller_that_disconnects()
    {
        deployment system({{"eng-1", "engines", "engine"}},
                          pipelines_named({"talk"}), foundry_customers());
        system.start_all();
        {
            const raw_caller caller(system.caller_address("entry-1"));
            const std::string body = R"({"input": "a", "max_tokens": 2000})";
            caller.send("POST /v1/pipelines/talk/requests HTTP/1.1\r\nHost: "
                        "a\r\nMangolink-Customer: caster\r\nAccept: "
                        "text/event-stream\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
            CPPUNIT_ASSERT(
                wait_until([&] { return system.executions().size() == 1; }));
        }
        section(
            "its request is cancelled at the agent",
            [&]
            {
                CPPUNIT_ASSERT(wait_until(
                    [&]
                    {
                        const json status = json::parse(
                            system.admin("eng-1", "GET", "/v1/status").body);
                        return status["running"] == 0;
                    }));
            });
        section("another caller gets its own answer",
                [&]
                {
                    const auto result = system.request(
                        "entry-1", "talk", R"({"input":"b","max_tokens":2})");
                    CPPUNIT_ASSERT(result.body.find("w0 w1 ") !=
                                   std::string::npos);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_peer_test);

} // namespace mangolink::test
