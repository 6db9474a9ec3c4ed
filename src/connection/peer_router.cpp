#include "connection/peer_router.hpp"

#include <zmq.h>

#include <stdexcept>

namespace mangolink
{
namespace
{

constexpr int reconnect_initial_ms = 50;
constexpr int reconnect_max_ms = 1000;
constexpr int connection_heartbeat_ms = 10'000;
constexpr int connection_timeout_ms = 30'000;

[[noreturn]] void throw_zmq_error(const std::string& what)
{
    throw std::runtime_error(what + ": " + zmq_strerror(zmq_errno()));
}

template <class T>
void set_option(void* socket, int option, T value)
{
    if (zmq_setsockopt(socket, option, &value, sizeof value) != 0)
    {
        throw_zmq_error("cannot set a socket option");
    }
}

std::string frame_content(zmq_msg_t& frame)
{
    return {static_cast<const char*>(zmq_msg_data(&frame)),
            zmq_msg_size(&frame)};
}

} // namespace

peer_router::peer_router(const peer_router_settings& settings)
    : context_(zmq_ctx_new()), socket_(zmq_socket(context_, ZMQ_ROUTER))
{
    if (socket_ == nullptr)
    {
        throw_zmq_error("cannot create the router socket");
    }
    zmq_setsockopt(socket_, ZMQ_ROUTING_ID, settings.route.data(),
                   settings.route.size());
    set_option(socket_, ZMQ_ROUTER_MANDATORY, 1);
    set_option(socket_, ZMQ_LINGER, 0);
    set_option(socket_, ZMQ_SNDHWM, settings.send_limit);
    set_option(socket_, ZMQ_RCVHWM, settings.receive_limit);
    set_option(socket_, ZMQ_MAXMSGSIZE, settings.max_message);
    set_option(socket_, ZMQ_RECONNECT_IVL, reconnect_initial_ms);
    set_option(socket_, ZMQ_RECONNECT_IVL_MAX, reconnect_max_ms);
    set_option(socket_, ZMQ_HEARTBEAT_IVL, connection_heartbeat_ms);
    set_option(socket_, ZMQ_HEARTBEAT_TIMEOUT, connection_timeout_ms);
}

peer_router::~peer_router()
{
    zmq_close(socket_);
    zmq_ctx_term(context_);
}

void peer_router::bind(const std::string& address)
{
    if (zmq_bind(socket_, ("tcp://" + address).c_str()) != 0)
    {
        throw_zmq_error("cannot listen on " + address);
    }
}

std::string peer_router::bound_address() const
{
    char buffer[128];
    std::size_t size = sizeof buffer;
    if (zmq_getsockopt(socket_, ZMQ_LAST_ENDPOINT, buffer, &size) != 0)
    {
        throw_zmq_error("endpoint");
    }
    const std::string endpoint(buffer);
    return endpoint.substr(std::string_view("tcp://").size());
}

void peer_router::connect(const std::string& address, const std::string& route)
{
    zmq_setsockopt(socket_, ZMQ_CONNECT_ROUTING_ID, route.data(), route.size());
    if (zmq_connect(socket_, ("tcp://" + address).c_str()) != 0)
    {
        throw_zmq_error("cannot connect to " + address);
    }
}

void peer_router::disconnect(const std::string& address)
{
    zmq_disconnect(socket_, ("tcp://" + address).c_str());
}

bool peer_router::send(const std::string& route, std::string_view bytes)
{
    constexpr int first_frame_flags = ZMQ_SNDMORE | ZMQ_DONTWAIT;
    if (zmq_send(socket_, route.data(), route.size(), first_frame_flags) < 0)
    {
        return false;
    }
    sent_bytes_.fetch_add(bytes.size(), std::memory_order_relaxed);
    return zmq_send(socket_, bytes.data(), bytes.size(), ZMQ_DONTWAIT) >= 0;
}

std::optional<routed_message> peer_router::receive()
{
    zmq_msg_t frame;
    zmq_msg_init(&frame);
    if (zmq_msg_recv(&frame, socket_, ZMQ_DONTWAIT) < 0)
    {
        zmq_msg_close(&frame);
        return std::nullopt;
    }
    routed_message message;
    message.route = frame_content(frame);
    int frame_count = 1;
    while (zmq_msg_more(&frame) != 0)
    {
        if (zmq_msg_recv(&frame, socket_, ZMQ_DONTWAIT) < 0)
        {
            break;
        }
        ++frame_count;
        message.bytes = frame_content(frame);
    }
    if (frame_count != 2)
    {
        message.bytes.clear(); // malformed; treated as an empty message
    }
    zmq_msg_close(&frame);
    received_bytes_.fetch_add(message.bytes.size(), std::memory_order_relaxed);
    return message;
}

int peer_router::descriptor() const
{
    int value = -1;
    std::size_t size = sizeof value;
    zmq_getsockopt(socket_, ZMQ_FD, &value, &size);
    return value;
}

bool peer_router::readable() const
{
    int events = 0;
    std::size_t size = sizeof events;
    zmq_getsockopt(socket_, ZMQ_EVENTS, &events, &size);
    return (events & ZMQ_POLLIN) != 0;
}

} // namespace mangolink
