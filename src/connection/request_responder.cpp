#include "connection/request_responder.hpp"

#include "connection/backend_exchange.hpp"
#include "connection/forward_attempt.hpp"
#include "connection/gateway_context.hpp"
#include "connection/http_headers.hpp"
#include "connection/request_record.hpp"
#include "connection/response_writer.hpp"
#include "roles/gateway_state.hpp"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_format.h>

namespace mangolink
{

request_responder::request_responder(gateway_context& context,
                                     response_writer& channel,
                                     const accepted_request& accepted,
                                     describe_function describe)
    : context_(context), channel_(channel), accepted_(accepted),
      describe_(std::move(describe))
{
}

asio::awaitable<void> request_responder::deliver(forward_attempt& attempt,
                                                 bool stream_begun)
{
    bool complete = false;
    if (stream_begun)
    {
        complete = co_await channel_.end_stream();
    }
    else
    {
        text_response response;
        response.base() = attempt.exchange()->head();
        remove_hop_by_hop_headers(response);
        response.body() = attempt.take_body();
        const auto exchange = attempt.exchange();
        exchange->set_on_reclaim([this] { channel_.cut(); });
        const absl::Cleanup written = [exchange]
        { exchange->set_on_reclaim([] {}); };
        complete = co_await channel_.write_response(std::move(response));
    }
    end(complete ? attempt.status() : 0, complete ? "complete" : "caller left");
}

asio::awaitable<void> request_responder::refuse(refusal details)
{
    text_response response(details.status, 11);
    if (details.retry_delay.count() > 0)
    {
        const std::chrono::duration<double> wait = details.retry_delay;
        response.set(http::field::retry_after,
                     absl::StrFormat("%.3f", wait.count()));
    }
    co_await write_own_answer(std::move(response), std::move(details.reason));
}

asio::awaitable<void> request_responder::fail(http::status status,
                                              std::string reason)
{
    text_response response(status, 11);
    co_await write_own_answer(std::move(response), std::move(reason));
}

asio::awaitable<void>
request_responder::write_own_answer(text_response response, std::string reason)
{
    ended_ = true;
    const auto status = response.result_int();
    const bool delivered =
        co_await channel_.write_response(std::move(response));
    end(delivered ? status : 0,
        delivered ? std::move(reason)
                  : reason + ", " + std::to_string(status) + " not delivered");
}

void request_responder::cut(const std::string& reason)
{
    end(0, reason);
    channel_.cut();
}

void request_responder::end(unsigned status, std::string reason)
{
    ended_ = true;
    request_end summary;
    summary.status = status;
    summary.reason = std::move(reason);
    describe_(summary);
    summary.confirmed = context_.state.freshness().age(boot_clock::now());
    record_request_end(context_.metrics, accepted_, summary);
}

} // namespace mangolink
