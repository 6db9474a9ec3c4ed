#include "faultproxy/fault_proxy.hpp"

#include "base/socket_address.hpp"
#include "connection/http_exchange.hpp"
#include "faultproxy/proxy_flow.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

constexpr int max_wait_ms = 20;

int listen_on(const std::string& text)
{
    const sockaddr_in address = socket_address::parse(text).value().native();
    const int socket_id = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(socket_id, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (bind(socket_id, generic, sizeof address) != 0 ||
        listen(socket_id, SOMAXCONN) != 0)
    {
        throw std::runtime_error("cannot listen on " + text);
    }
    return socket_id;
}

int connect_to(const std::string& text)
{
    const sockaddr_in address = socket_address::parse(text).value().native();
    const int socket_id = socket(AF_INET, SOCK_STREAM, 0);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (connect(socket_id, generic, sizeof address) != 0)
    {
        close(socket_id);
        return -1;
    }
    const int on = 1;
    setsockopt(socket_id, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(socket_id, F_SETFL, O_NONBLOCK);
    return socket_id;
}

void reset(int socket_id)
{
    const linger reset_on_close{1, 0};
    setsockopt(socket_id, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    close(socket_id);
}

} // namespace

struct fault_proxy::listener final
{
    proxy_route route;
    int socket_id;
};

struct fault_proxy::connection final
{
    connection(std::string route_name, std::string source_address, int client,
               int server, int duplicate)
        : route(std::move(route_name)), source(std::move(source_address)),
          client_socket(client), server_socket(server),
          duplicate_socket(duplicate), to_server(client, server),
          to_client(server, client)
    {
    }

    std::string route;
    std::string source;
    int client_socket;
    int server_socket;
    int duplicate_socket; ///< second connection to the server, or -1
    proxy_flow to_server;
    proxy_flow to_client;
    std::uint64_t counted_bytes = 0;
    bool closing = false;
};

fault_proxy::fault_proxy(const std::vector<proxy_route>& routes,
                         const std::string& control, std::uint64_t seed)
    : random_(seed), epoll_(epoll_create1(EPOLL_CLOEXEC))
{
    for (const auto& route : routes)
    {
        auto listening = std::make_unique<listener>(
            listener{route, listen_on(route.listen)});
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = listening->socket_id;
        epoll_ctl(epoll_, EPOLL_CTL_ADD, listening->socket_id, &event);
        listeners_.push_back(std::move(listening));
    }
    thread_ = std::thread([this] { run(); });
    control_ = std::make_unique<http_server>(
        http_server_settings{.address = control},
        [this](const std::shared_ptr<http_exchange>& exchange)
        { on_control(exchange); });
}

fault_proxy::~fault_proxy()
{
    control_.reset();
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    thread_.join();
    for (const auto& listening : listeners_)
    {
        close(listening->socket_id);
    }
    close(epoll_);
}

void fault_proxy::on_control(const std::shared_ptr<http_exchange>& exchange)
{
    const std::lock_guard lock(mutex_);
    if (exchange->request().path == "/traffic")
    {
        exchange->respond({200, {}, traffic()});
        return;
    }
    try
    {
        rules_.replace(json::parse(exchange->request().body));
        close_faulted_connections();
        exchange->respond({200, {}, "{}"});
    }
    catch (const std::exception& error)
    {
        exchange->respond({400, {}, error.what()});
    }
}

void fault_proxy::run()
{
    std::array<epoll_event, 64> events{};
    while (true)
    {
        const int count = epoll_wait(epoll_, events.data(), events.size(),
                                     epoll_timeout_ms());
        const std::lock_guard lock(mutex_);
        if (stopping_)
        {
            for (const auto& proxied : connections_)
            {
                proxied->closing = true;
            }
        }
        for (int i = 0; i < count; ++i)
        {
            for (const auto& from : listeners_)
            {
                if (from->socket_id == events[i].data.fd)
                {
                    accept_from(*from);
                }
            }
        }
        for (const auto& proxied : connections_)
        {
            transfer(*proxied);
        }
        std::erase_if(connections_,
                      [](const std::unique_ptr<connection>& proxied)
                      {
                          if (!proxied->closing)
                          {
                              return false;
                          }
                          reset(proxied->client_socket);
                          reset(proxied->server_socket);
                          if (proxied->duplicate_socket >= 0)
                          {
                              reset(proxied->duplicate_socket);
                          }
                          return true;
                      });
        if (stopping_)
        {
            return;
        }
    }
}

void fault_proxy::accept_from(const listener& from)
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    const int client =
        accept4(from.socket_id, reinterpret_cast<sockaddr*>(&peer), &size,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0)
    {
        return;
    }
    char source[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &peer.sin_addr, source, sizeof source);
    const fault_rule rule = rules_.rule_for(from.route.name, source);
    const double draw = std::uniform_real_distribution<>(0, 1)(random_);
    const int server =
        rule.cut || draw < rule.drop ? -1 : connect_to(from.route.to);
    if (server < 0)
    {
        reset(client);
        return;
    }
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int duplicate =
        rule.duplicate_connect ? connect_to(from.route.to) : -1;
    connections_.push_back(std::make_unique<connection>(
        from.route.name, source, client, server, duplicate));
    for (const int socket_id : {client, server})
    {
        epoll_event event{};
        event.events = EPOLLIN | EPOLLET;
        event.data.fd = socket_id;
        epoll_ctl(epoll_, EPOLL_CTL_ADD, socket_id, &event);
    }
}

void fault_proxy::transfer(connection& proxied)
{
    const auto now = boot_clock::now();
    const fault_rule rule = rules_.rule_for(proxied.route, proxied.source);
    std::uniform_int_distribution<std::int64_t> jitter(0, rule.jitter.count());
    const auto move = [&](proxy_flow& flow, bool hold)
    {
        const bool reads =
            !flow.accepting() ||
            flow.read(rule, hold, milliseconds(jitter(random_)), now);
        return reads && flow.write(now);
    };
    const bool alive = move(proxied.to_server, rule.hold_to_server) &&
                       move(proxied.to_client, rule.hold_to_client);
    const auto forwarded = proxied.to_server.forwarded_bytes() +
                           proxied.to_client.forwarded_bytes();
    forwarded_[proxied.route + " " + proxied.source] +=
        forwarded - proxied.counted_bytes;
    proxied.counted_bytes = forwarded;
    const bool ended =
        proxied.to_server.finished() && proxied.to_client.finished();
    proxied.closing = proxied.closing || !alive || ended;
}

void fault_proxy::close_faulted_connections()
{
    for (const auto& proxied : connections_)
    {
        const fault_rule rule =
            rules_.rule_for(proxied->route, proxied->source);
        proxied->closing = proxied->closing || rule.cut || rule.reset;
    }
}

int fault_proxy::epoll_timeout_ms() const
{
    auto next = boot_clock::time_point::max();
    for (const auto& proxied : connections_)
    {
        next = std::min({next, proxied->to_server.next_time(),
                         proxied->to_client.next_time()});
    }
    if (next == boot_clock::time_point::max())
    {
        return max_wait_ms;
    }
    const auto left =
        std::chrono::ceil<milliseconds>(next - boot_clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, max_wait_ms));
}

std::string fault_proxy::traffic() const
{
    return json(forwarded_).dump();
}

} // namespace mangolink::bench
