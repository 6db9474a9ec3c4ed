#include "connection/peer_server.hpp"

#include "base/log.hpp"
#include "base/socket_address.hpp"
#include "connection/failure_log.hpp"
#include "connection/listening_socket.hpp"
#include "connection/message_reader.hpp"
#include "connection/peer_call.hpp"
#include "connection/scoped_timeout.hpp"
#include "connection/service_task.hpp"
#include "connection/socket_state.hpp"
#include "connection/stage_dispatcher.hpp"
#include "connection/task_message.hpp"
#include "connection/update_source.hpp"
#include "process/memory_account.hpp"

#include <boost/beast/http/write.hpp>

namespace mangolink
{
namespace
{

/// Connections of peers are closed after this idle time; peers stop reusing
/// them earlier.
constexpr milliseconds idle_limit{15'000};

constexpr message_limits request_limits{8 * 1024, 1024ULL * 1024};

} // namespace

/// Task of a peer whose items are executed by this process.
class peer_server::remote_task final : public stage_client
{
public:
    remote_task(asio::io_context& io, stage_dispatcher& stages,
                std::size_t item_count)
        : stages_(stages), done_(io), remaining_(item_count)
    {
    }

    bool wants_items() const override { return wanted_; }

    void item_ended(stage_item item, stage_item_answer answer) override
    {
        if (!wanted_)
        {
            if (answer.end == stage_item_outcome::made)
            {
                stages_.release({answer.handle});
            }
            return;
        }
        reports_.push_back({item.index, std::move(answer)});
        remaining_ -= remaining_ > 0 ? 1 : 0;
        if (remaining_ == 0)
        {
            done_.cancel();
        }
    }

    /// Releases the results, since the peer closed the connection.
    void abandon()
    {
        wanted_ = false;
        for (const auto& report : reports_)
        {
            if (report.answer.end == stage_item_outcome::made)
            {
                stages_.release({report.answer.handle});
            }
        }
        done_.cancel();
    }

    asio::awaitable<void> wait()
    {
        if (remaining_ > 0 && wanted_)
        {
            error_code ignored; // cancelling the timer signals completion
            done_.expires_at(asio::steady_timer::time_point::max());
            co_await done_.async_wait(redirect_to(ignored));
        }
    }

    const std::vector<item_report>& reports() const { return reports_; }

    bool ended() const { return remaining_ == 0; }

private:
    stage_dispatcher& stages_;
    asio::steady_timer done_;
    std::size_t remaining_;
    std::vector<item_report> reports_;
    bool wanted_ = true;
};

peer_server::peer_server(asio::io_context& io, const socket_address& address,
                         stage_dispatcher& stages, update_source& updates,
                         memory_budget& memory)
    : io_(io), stages_(stages), updates_(updates), memory_(memory),
      acceptor_(open_listening_socket(io, address))
{
    spawn_service(io_, "peer accept loop", [this] { return accept_loop(); });
}

peer_server::~peer_server() = default;

asio::awaitable<void> peer_server::accept_loop()
{
    while (true)
    {
        auto socket = std::make_shared<tcp::socket>(io_);
        error_code error;
        co_await acceptor_.async_accept(*socket, redirect_to(error));
        if (!error)
        {
            asio::co_spawn(io_, serve(std::move(socket)),
                           failure_log("peer connection"));
        }
        else
        {
            log_warning("stage", "Accept failed.",
                        {{"reason", error.message()}});
            co_await pause(io_, accept_retry_delay);
        }
    }
}

asio::awaitable<void> peer_server::serve(std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    memory_account memory(memory_, memory_holder::peer_request,
                          [socket] { close_socket(*socket); });
    error_code error;
    socket->set_option(tcp::no_delay(true), error);
    while (!error)
    {
        request_reader reader(*socket, buffer, request_limits, memory);
        {
            const scoped_timeout guard(io_, idle_limit,
                                       [socket] { close_socket(*socket); });
            error = co_await reader.read_rest();
        }
        if (error)
        {
            break;
        }
        const text_request request = reader.release();
        text_response response(http::status::ok, 11);
        if (request.target() == task_path)
        {
            co_await run_task(socket, request.body(), response);
        }
        else if (request.target() == update_path)
        {
            auto answer = co_await updates_.handle_request(request.body());
            response.result(answer ? http::status::ok
                                   : http::status::service_unavailable);
            response.body() = answer ? std::move(*answer) : std::string();
        }
        else if (const auto message = decode_release(request.body());
                 message && request.target() == release_path)
        {
            stages_.caller().enqueue_release(message->server, message->handles);
        }
        else
        {
            response.result(http::status::bad_request);
        }
        response.prepare_payload();
        co_await http::async_write(*socket, response, redirect_to(error));
    }
}

asio::awaitable<void> peer_server::run_task(std::shared_ptr<tcp::socket> socket,
                                            const std::string& body,
                                            text_response& response)
{
    const auto addressed = decode_task(body, boot_clock::now());
    if (!addressed)
    {
        response.result(http::status::bad_request);
        co_return;
    }
    const auto pending = std::make_shared<remote_task>(
        io_, stages_, addressed->task->items.size());
    addressed->task->client = pending;
    asio::co_spawn(
        io_, [socket, pending] { return watch_for_close(socket, pending); },
        failure_log("task watch"));
    stages_.accept(addressed->server, addressed->task);
    co_await pending->wait();
    error_code ignored; // ends watch_for_close(), the only pending wait
    socket->cancel(ignored);
    response.body() = encode_reply(pending->reports());
}

asio::awaitable<void>
peer_server::watch_for_close(std::shared_ptr<tcp::socket> socket,
                             std::shared_ptr<remote_task> task)
{
    error_code error;
    co_await socket->async_wait(tcp::socket::wait_read, redirect_to(error));
    if (!error && !task->ended() && peer_has_closed(*socket))
    {
        task->abandon();
    }
}

} // namespace mangolink
