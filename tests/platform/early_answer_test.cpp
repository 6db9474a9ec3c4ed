#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

namespace mangolink::test
{

/// Answers that come while the request is still being written, or that have no
/// valid status.
class early_answer_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(early_answer_test);
    CPPUNIT_TEST(a_reset_during_the_upload_completes_no_answer);
    CPPUNIT_TEST(an_early_answer_that_ends_with_its_connection_is_whole);
    CPPUNIT_TEST(an_answer_with_status_zero_is_not_forwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_reset_during_the_upload_completes_no_answer()
    {
        const auto answer = answer_to_upload(true);
        CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
    }

    void an_early_answer_that_ends_with_its_connection_is_whole()
    {
        const auto answer = answer_to_upload(false);
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string(body_part), answer->body());
    }

    void an_answer_with_status_zero_is_not_forwarded()
    {
        test_cluster cluster;
        standin_server desk(
            [](const text_request& request, const standin_server::reply& reply)
            {
                scripted_answer script;
                script.parts.push_back(
                    {"HTTP/1.1 000 None\r\n" +
                         head_fields(std::string(request["X-Attempt-Id"])) +
                         "Content-Length: 4\r\n\r\ndone",
                     {}});
                reply(std::move(script));
            });
        auto& gateway = start(cluster, desk.address().text());
        test_caller caller(gateway.callers());
        const auto answer =
            caller.send_request(test_cluster::request("/orders/x", "r"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
    }

private:
    static constexpr const char* body_part = "part of the body";

    /// More than the buffers of a connection hold.
    static constexpr std::size_t upload_bytes = 12UL * 1024 * 1024;

    static std::string head_fields(const std::string& id)
    {
        return "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal\r\n";
    }

    static gateway_process& start(test_cluster& cluster,
                                  const std::string& server)
    {
        cluster.add_backend("desk", "desk-1");
        cluster.set_address("desk-1", server);
        cluster.add_route("/orders/", "non_idempotent", "desk");
        cluster.configuration()["limits"]["maxBodyBytes"] = upload_bytes;
        cluster.publish();
        return cluster.start_gateway();
    }

    /// Uploads to a server that reads the head, answers 200 without a length
    /// and then ends the connection, in order or by a reset.
    static std::optional<text_response> answer_to_upload(bool resets)
    {
        asio::io_context io;
        tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
        std::thread server(
            [&]
            {
                tcp::socket socket = acceptor.accept();
                std::string head;
                asio::read_until(socket, asio::dynamic_buffer(head),
                                 "\r\n\r\n");
                asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\n" +
                                                 head_fields("upload") +
                                                 "\r\n" + body_part));
                std::this_thread::sleep_for(milliseconds(200));
                if (resets)
                {
                    socket.set_option(asio::socket_base::linger(true, 0));
                    socket.close();
                    return;
                }
                socket.shutdown(tcp::socket::shutdown_send);
                std::this_thread::sleep_for(milliseconds(500));
            });
        test_cluster cluster;
        auto& gateway = start(
            cluster,
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        test_caller caller(gateway.callers());
        auto request = test_cluster::request("/orders/x", "upload");
        request.body().assign(upload_bytes, 'x');
        request.prepare_payload();
        auto answer = caller.send_request(request);
        server.join();
        CPPUNIT_ASSERT(answer);
        return answer;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_answer_test);

} // namespace mangolink::test
