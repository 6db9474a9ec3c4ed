#include "stand_ins.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review
{
namespace
{

using clock = std::chrono::steady_clock;

const clock::time_point program_start = clock::now();

sockaddr_in loopback(std::uint16_t port, const std::string& ip = "127.0.0.1")
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    address.sin_port = htons(port);
    return address;
}

/// Opens a listening socket on a free port.
int listen_on_free_port()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = loopback(0);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(descriptor, SOMAXCONN) != 0)
    {
        ::close(descriptor);
        throw std::runtime_error("no port to listen on");
    }
    return descriptor;
}

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Returns ports that are free now, all different.
std::vector<std::uint16_t> free_ports(std::size_t count)
{
    std::vector<int> descriptors;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i)
    {
        descriptors.push_back(listen_on_free_port());
        ports.push_back(port_of(descriptors.back()));
    }
    for (const int descriptor : descriptors)
    {
        ::close(descriptor);
    }
    return ports;
}

std::string local(std::uint16_t port, const std::string& ip = "127.0.0.1")
{
    return ip + ":" + std::to_string(port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string word(const std::string& line, std::size_t index)
{
    std::istringstream words(line);
    std::string result;
    for (std::size_t i = 0; i <= index; ++i)
    {
        result.clear();
        words >> result;
    }
    return result;
}

std::string base64(const std::string& bytes)
{
    static constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            const auto byte = i + k < bytes.size()
                                  ? static_cast<unsigned char>(bytes[i + k])
                                  : 0U;
            group = (group << 8U) | byte;
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            const bool used = i + k <= bytes.size();
            result += used ? letters[(group >> (18U - 6U * k)) & 63U] : '=';
        }
    }
    return result;
}

std::string argument(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

void replace_all(std::string& text, const std::string& from,
                 const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
}

std::string json_answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() -
                                                    program_start)
        .count();
}

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

record::record(const std::string& path) : file_(path)
{
}

void record::add(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    file_ << now_ms() << " ms  " << line << std::endl;
}

std::string message::method() const
{
    return word(start, 0);
}

std::string message::target() const
{
    return word(start, 1);
}

int message::status() const
{
    return start.starts_with("HTTP/") ? std::atoi(word(start, 1).c_str()) : 0;
}

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? "" : found->second;
}

connection::connection(int descriptor) : descriptor_(descriptor)
{
    const int yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

connection::~connection()
{
    close();
}

std::unique_ptr<connection> connection::open(std::uint16_t port,
                                             const std::string& ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port, ip);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill(std::int64_t deadline)
{
    pollfd ready{descriptor_, POLLIN, 0};
    const auto left = std::max<std::int64_t>(0, deadline - now_ms());
    if (::poll(&ready, 1, static_cast<int>(left)) <= 0)
    {
        return false;
    }
    std::array<char, 16384> bytes{};
    const auto got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (got <= 0)
    {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

bool connection::read_line(std::string& line, std::int64_t deadline)
{
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos)
    {
        if (!fill(deadline))
        {
            return false;
        }
        end = buffer_.find("\r\n");
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
}

bool connection::read_bytes(std::size_t count, std::string& to,
                            std::int64_t deadline)
{
    bool open = true;
    while (open && buffer_.size() < count)
    {
        open = fill(deadline);
    }
    const auto taken = std::min(count, buffer_.size());
    to += buffer_.substr(0, taken);
    buffer_.erase(0, taken);
    return taken == count;
}

bool connection::read_chunks(std::string& to, std::int64_t deadline)
{
    std::string line;
    while (read_line(line, deadline))
    {
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (!read_bytes(size, to, deadline) || !read_line(line, deadline))
        {
            return false;
        }
        if (size == 0)
        {
            return true;
        }
    }
    return false;
}

std::optional<message> connection::read(milliseconds limit)
{
    const auto deadline = now_ms() + limit.count();
    message result;
    if (!read_line(result.start, deadline))
    {
        return std::nullopt;
    }
    std::string line;
    while (read_line(line, deadline) && !line.empty())
    {
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    const auto length = result.header("content-length");
    if (lower(result.header("transfer-encoding")) == "chunked")
    {
        result.complete = read_chunks(result.body, deadline);
    }
    else if (!length.empty() || result.status() == 0)
    {
        result.complete = read_bytes(std::strtoul(length.c_str(), nullptr, 10),
                                     result.body, deadline);
    }
    else
    {
        while (fill(deadline))
        {
        }
        result.body = std::exchange(buffer_, {});
        result.complete = true;
    }
    return result;
}

void connection::close()
{
    const std::lock_guard lock(closing_);
    if (descriptor_ >= 0)
    {
        ::close(std::exchange(descriptor_, -1));
    }
}

void connection::reset()
{
    const linger hard{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close();
}

void connection::interrupt()
{
    const std::lock_guard lock(closing_);
    if (descriptor_ >= 0)
    {
        ::shutdown(descriptor_, SHUT_RDWR);
    }
}

listener::listener(handler handle)
    : handle_(std::move(handle)), descriptor_(listen_on_free_port()),
      port_(port_of(descriptor_))
{
    threads_.emplace_back([this] { accept_all(); });
}

listener::~listener()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
        for (auto* each : open_)
        {
            each->interrupt();
        }
        threads = std::move(threads_);
    }
    ::shutdown(descriptor_, SHUT_RDWR); // ends accept_all()
    for (auto& thread : threads)
    {
        thread.join();
    }
    ::close(descriptor_);
}

void listener::accept_all()
{
    int accepted = 0;
    while (accepted >= 0)
    {
        accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(mutex_);
        if (accepted >= 0 && ending_)
        {
            ::close(accepted);
        }
        else if (accepted >= 0)
        {
            threads_.emplace_back([this, accepted] { serve(accepted); });
        }
    }
}

void listener::serve(int descriptor)
{
    connection peer(descriptor);
    {
        const std::lock_guard lock(mutex_);
        if (ending_ || down_)
        {
            peer.reset();
            return;
        }
        open_.insert(&peer);
    }
    handle_(peer);
    const std::lock_guard lock(mutex_);
    open_.erase(&peer);
}

void listener::set_down(bool down)
{
    const std::lock_guard lock(mutex_);
    down_ = down;
    for (auto* each : open_)
    {
        if (down)
        {
            each->interrupt();
        }
    }
}

std::string listener::address() const
{
    return local(port_);
}

store::store(record& log)
    : log_(log), listener_(std::make_unique<listener>([this](connection& peer)
                                                      { serve(peer); }))
{
}

void store::put(const std::string& key, const std::string& value)
{
    {
        const std::lock_guard lock(mutex_);
        items_[key] = {value, ++revision_};
    }
    changed_.notify_all();
    log_.add("store: confirmed " + key + " = " + value);
}

void store::serve(connection& peer)
{
    constexpr milliseconds idle{60'000};
    while (const auto request = peer.read(idle))
    {
        const auto target = request->target();
        const auto prefix = argument(target, "prefix");
        std::string body;
        if (target.starts_with("/v1/kv-range"))
        {
            body = range(prefix);
        }
        else
        {
            body = watch(
                prefix, std::stoull("0" + argument(target, "after")),
                milliseconds(std::stoll("0" + argument(target, "waitMs"))));
        }
        if (!peer.send(json_answer(body)))
        {
            return;
        }
    }
}

std::string store::range(const std::string& prefix)
{
    const std::lock_guard lock(mutex_);
    auto entries = nlohmann::json::array();
    for (const auto& [key, item] : items_)
    {
        if (key.starts_with(prefix))
        {
            entries.push_back({{"key", key},
                               {"value", base64(item.value)},
                               {"revision", item.revision},
                               {"creationRevision", item.revision},
                               {"leaseId", 0}});
        }
    }
    return nlohmann::json{
        {"entries", entries}, {"hasMore", false}, {"at", revision_}}
        .dump();
}

std::string store::watch(const std::string& prefix, std::uint64_t after,
                         milliseconds wait)
{
    std::unique_lock lock(mutex_);
    auto events = nlohmann::json::array();
    const auto collect = [&]
    {
        events.clear();
        for (const auto& [key, item] : items_)
        {
            if (key.starts_with(prefix) && item.revision > after)
            {
                events.push_back({{"key", key},
                                  {"value", base64(item.value)},
                                  {"revision", item.revision},
                                  {"creationRevision", item.revision},
                                  {"leaseId", 0}});
            }
        }
        return !events.empty();
    };
    changed_.wait_for(lock, wait, collect);
    return nlohmann::json{{"events", events}, {"at", revision_}}.dump();
}

engine::engine(std::string id, std::string service, handler handle)
    : id_(std::move(id)), service_(std::move(service)),
      handle_(std::move(handle)),
      listener_([this](connection& peer) { serve(peer); })
{
}

std::string engine::entry(std::uint64_t born, std::uint64_t sequence) const
{
    return nlohmann::json{
        {"service", service_}, {"address", address()}, {"zone", "north-a"},
        {"version", "v1"},     {"slots", 8},           {"state", "ready"},
        {"born", born},        {"coldRemainingMs", 0}, {"sequence", sequence}}
        .dump();
}

void engine::serve(connection& peer) const
{
    constexpr milliseconds idle{60'000};
    while (const auto request = peer.read(idle))
    {
        if (!request->complete)
        {
            return;
        }
        const auto expected = request->header("x-expect-instance");
        const bool other = !expected.empty() && expected != id_;
        if (other ? !peer.send(not_executed(*request, 421))
                  : !handle_(peer, *request))
        {
            return;
        }
    }
}

std::string sealed_answer(const message& request, const std::string& body,
                          const std::string& more_headers)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
           request.header("x-attempt-id") + "\r\nX-Response-Seal: seal\r\n" +
           more_headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string not_executed(const message& request, int status)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Refused\r\nX-Attempt-Id: " + request.header("x-attempt-id") +
           "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

gateway::gateway(const deployment& values, const std::string& folder,
                 record& log)
    : log_(log), name_(values.name), ip_(values.ip),
      ports_(values.ports.empty() ? free_ports(4) : values.ports),
      settings_path_(folder + "/" + name_ + ".toml"),
      output_path_(folder + "/" + name_ + ".log")
{
    std::ifstream file("platform/gateway.toml.in");
    std::stringstream content;
    content << file.rdbuf();
    std::string settings = content.str();
    const std::vector<std::pair<std::string, std::string>> fields{
        {"{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}",
         "\"" + local(ports_[3], values.seed_ip) + "\""},
        {"{{#zones}}\"{{@}}={{.}}\"{{,}}{{/zones}}", "\"north-a=north\""},
        {"{{ip}}:{{internalPortRange.0}}", local(ports_[2], ip_)},
        {"{{ip}}:{{internalPortRange.1}}", local(ports_[3], ip_)},
        {"{{nodeName}}", name_},
        {"{{zone}}", "north-a"},
        {"{{region}}", "north"},
        {"{{limits.maxFds}}", "4200"},
        {"{{limits.memoryMb}}", "260"},
        {"{{limits.cpuQuota}}", "0.19"},
        {"{{listen.frontend}}", local(ports_[0], ip_)},
        {"{{listen.readiness}}", local(ports_[1], ip_)},
        {"{{bounds.graceS}}", values.grace_s},
        {"{{platform.address}}", values.store},
        {"{{bounds.revokeMs}}", "5000"},
        {"{{bounds.retryBudgetRatio}}", "0.2"},
        {"{{bounds.retryWindowS}}", "10"},
        {"{{bounds.budgetSlack}}", "52"}};
    for (const auto& [from, to] : fields)
    {
        replace_all(settings, from, to);
    }
    std::ofstream(settings_path_) << settings;
    start();
}

void gateway::start()
{
    constexpr int mode = 0600;
    process_ = ::fork();
    if (process_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log_file =
            ::open(output_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
        ::dup2(log_file, STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        ::execl("target/mangolink-gateway", "target/mangolink-gateway",
                "--settings", settings_path_.c_str(), nullptr);
        ::_exit(127);
    }
    log_.add("gateway " + name_ + " started, process " +
             std::to_string(process_));
}

gateway::~gateway()
{
    if (!ended())
    {
        signal(SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

bool gateway::wait_until_ready(milliseconds limit) const
{
    const auto deadline = now_ms() + limit.count();
    while (now_ms() < deadline)
    {
        const auto probe = connection::open(ports_[1], ip_);
        if (probe &&
            probe->send("GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n"))
        {
            const auto answer = probe->read(milliseconds(1000));
            if (answer && answer->status() == 200)
            {
                log_.add("gateway " + name_ + " says that it is ready");
                return true;
            }
        }
        pause(milliseconds(100));
    }
    log_.add("gateway is not ready");
    return false;
}

bool gateway::wait_until_ended(milliseconds limit)
{
    const auto deadline = now_ms() + limit.count();
    while (!ended() && now_ms() < deadline)
    {
        pause(milliseconds(20));
    }
    return process_ < 0;
}

bool gateway::ended()
{
    int status = 0;
    if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_)
    {
        log_.add("gateway " + name_ + " ended, exit code " +
                 std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -1));
        process_ = -1;
    }
    return process_ < 0;
}

void gateway::signal(int number) const
{
    ::kill(process_, number);
}

} // namespace review
