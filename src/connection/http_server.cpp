#include "connection/http_server.hpp"

#include "base/socket_address.hpp"
#include "connection/connection_timeout_monitor.hpp"
#include "connection/http_exchange.hpp"

#include <microhttpd.h>
#include <unistd.h>

#include <stdexcept>

namespace mangolink
{
namespace
{

using exchange_pointer = std::shared_ptr<http_exchange>;

MHD_Result append_field(void* target, MHD_ValueKind, const char* name,
                        const char* value)
{
    static_cast<std::vector<http_header>*>(target)->push_back(
        {name, value == nullptr ? "" : value});
    return MHD_YES;
}

} // namespace

struct http_server::callbacks final
{
    static MHD_Result access(void* server, MHD_Connection* connection,
                             const char* url, const char* method, const char*,
                             const char* upload, std::size_t* upload_size,
                             void** state)
    {
        auto& self = *static_cast<http_server*>(server);
        if (*state == nullptr)
        {
            begin(connection, url, method, state);
            ++self.active_;
            return MHD_YES;
        }
        const exchange_pointer exchange =
            *static_cast<exchange_pointer*>(*state);
        if (*upload_size > 0)
        {
            receive(self, *exchange, {upload, *upload_size});
            *upload_size = 0;
            return MHD_YES;
        }
        if (exchange->phase_ == http_exchange::phase::receiving)
        {
            if (!self.timeout_monitor_->on_request_received(connection))
            {
                return MHD_NO; // the read timeout has already closed the
                               // connection
            }
            complete(self, exchange);
        }
        return static_cast<MHD_Result>(exchange->queue_or_suspend());
    }

    static void begin(MHD_Connection* connection, const char* url,
                      const char* method, void** state)
    {
        auto exchange = std::make_shared<http_exchange>(connection);
        http_request& request = exchange->request_;
        request.method = method;
        request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &append_field,
                                  &request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                  &append_field, &request.query);
        *state = new exchange_pointer(std::move(exchange));
    }

    static void receive(const http_server& self, http_exchange& exchange,
                        std::string_view bytes)
    {
        exchange.received_ += bytes.size();
        if (exchange.received_ > self.settings_.max_body)
        {
            exchange.too_large_ = true;
            exchange.request_.body.clear();
            return;
        }
        exchange.request_.body += bytes;
    }

    static void complete(http_server& self, const exchange_pointer& exchange)
    {
        self.on_request_(exchange);
    }

    static void* request_line(void* server, const char*,
                              MHD_Connection* connection)
    {
        static_cast<http_server*>(server)->timeout_monitor_->on_request_started(
            connection);
        return nullptr;
    }

    static void connection_changed(void* server, MHD_Connection* connection,
                                   void**, MHD_ConnectionNotificationCode code)
    {
        connection_timeout_monitor& monitor =
            *static_cast<http_server*>(server)->timeout_monitor_;
        if (code == MHD_CONNECTION_NOTIFY_CLOSED)
        {
            monitor.on_closed(connection);
            return;
        }
        const auto* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        monitor.on_opened(connection, info->connect_fd);
    }

    static void completed(void* server, MHD_Connection* connection,
                          void** state, MHD_RequestTerminationCode code)
    {
        if (*state == nullptr)
        {
            return;
        }
        static_cast<http_server*>(server)
            ->timeout_monitor_->on_request_completed(connection);
        auto* holder = static_cast<exchange_pointer*>(*state);
        (*holder)->close(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
        delete holder;
        *state = nullptr;
        --static_cast<http_server*>(server)->active_;
    }
};

http_server::http_server(http_server_settings settings, handler on_request)
    : settings_(std::move(settings)), on_request_(std::move(on_request)),
      timeout_monitor_(std::make_unique<connection_timeout_monitor>(
          connection_timeout_monitor_settings{settings_.read_limit,
                                              settings_.idle_limit,
                                              settings_.make_timeout_response}))
{
    const auto parsed = socket_address::parse(settings_.address);
    if (!parsed)
    {
        throw std::runtime_error("invalid address: " + settings_.address);
    }
    sockaddr_in address = parsed->native();
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
                           MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
    daemon_ = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &callbacks::access, this,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
        &callbacks::completed, this, MHD_OPTION_NOTIFY_CONNECTION,
        &callbacks::connection_changed, this, MHD_OPTION_URI_LOG_CALLBACK,
        &callbacks::request_line, this, MHD_OPTION_CONNECTION_LIMIT,
        settings_.max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(settings_.idle_limit.count()),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, settings_.connection_memory,
        MHD_OPTION_THREAD_POOL_SIZE,
        settings_.threads > 1 ? settings_.threads : 0U, MHD_OPTION_END);
    if (daemon_ == nullptr)
    {
        throw std::runtime_error("cannot listen on " + settings_.address);
    }
}

http_server::~http_server()
{
    MHD_stop_daemon(daemon_);
    if (listener_ >= 0)
    {
        close(listener_);
    }
}

std::uint16_t http_server::port() const
{
    return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void http_server::stop_accepting()
{
    if (listener_ < 0)
    {
        listener_ = MHD_quiesce_daemon(daemon_);
    }
}

} // namespace mangolink
