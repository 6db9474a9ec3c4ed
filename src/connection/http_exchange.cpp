#include "connection/http_exchange.hpp"

#include <microhttpd.h>

#include <algorithm>
#include <cstring>

namespace mangolink
{
namespace
{

constexpr std::size_t stream_block = 16 * 1024;

} // namespace

http_exchange::http_exchange(MHD_Connection* connection)
    : connection_(connection)
{
}

void http_exchange::respond(http_response response)
{
    const std::lock_guard lock(mutex_);
    if (response_ || phase_ == phase::closed)
    {
        return;
    }
    response_ = std::move(response);
    finished_ = true;
    resume();
}

void http_exchange::begin_stream(http_response head)
{
    const std::lock_guard lock(mutex_);
    if (response_ || phase_ == phase::closed)
    {
        return;
    }
    pending_ = std::move(head.body);
    response_ = std::move(head);
    streaming_ = true;
    resume();
}

void http_exchange::write(std::string_view bytes)
{
    const std::lock_guard lock(mutex_);
    if (phase_ == phase::closed || finished_)
    {
        return;
    }
    pending_ += bytes;
    resume();
}

void http_exchange::finish()
{
    const std::lock_guard lock(mutex_);
    finished_ = true;
    resume();
}

void http_exchange::set_disconnect_handler(disconnect_handler action)
{
    const std::lock_guard lock(mutex_);
    on_disconnect_ = std::move(action);
}

int http_exchange::queue_or_suspend()
{
    const std::lock_guard lock(mutex_);
    if (response_)
    {
        return queue_response();
    }
    phase_ = phase::waiting;
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return MHD_YES;
}

int http_exchange::queue_response()
{
    phase_ = phase::answered;
    MHD_Response* response = make_response();
    for (const auto& header : response_->headers)
    {
        MHD_add_response_header(response, header.name.c_str(),
                                header.value.c_str());
    }
    const int queued =
        MHD_queue_response(connection_, response_->status, response);
    MHD_destroy_response(response);
    return queued;
}

void http_exchange::resume()
{
    if (suspended_)
    {
        suspended_ = false;
        MHD_resume_connection(connection_);
    }
}

void http_exchange::close(bool completed)
{
    disconnect_handler on_disconnect;
    {
        const std::lock_guard lock(mutex_);
        const bool ended_early = !completed || !finished_;
        phase_ = phase::closed;
        suspended_ = false;
        connection_ = nullptr;
        if (ended_early)
        {
            on_disconnect = std::move(on_disconnect_);
        }
        on_disconnect_ = nullptr;
    }
    if (on_disconnect)
    {
        on_disconnect();
    }
}

std::ptrdiff_t http_exchange::read_stream(char* buffer, std::size_t max_size)
{
    const std::lock_guard lock(mutex_);
    if (!pending_.empty())
    {
        const std::size_t count = std::min(max_size, pending_.size());
        std::memcpy(buffer, pending_.data(), count);
        pending_.erase(0, count);
        return static_cast<std::ptrdiff_t>(count);
    }
    if (finished_)
    {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return 0;
}

MHD_Response* http_exchange::make_response()
{
    if (!streaming_)
    {
        return MHD_create_response_from_buffer(response_->body.size(),
                                               response_->body.data(),
                                               MHD_RESPMEM_MUST_COPY);
    }
    auto* self = new std::shared_ptr<http_exchange>(shared_from_this());
    return MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, stream_block, &http_exchange::read_callback, self,
        &http_exchange::free_callback);
}

std::ptrdiff_t http_exchange::read_callback(void* self, std::uint64_t,
                                            char* buffer, std::size_t max_size)
{
    return (*static_cast<std::shared_ptr<http_exchange>*>(self))
        ->read_stream(buffer, max_size);
}

void http_exchange::free_callback(void* self)
{
    delete static_cast<std::shared_ptr<http_exchange>*>(self);
}

} // namespace mangolink
