#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Stand-ins for the platform's store, for engines and for requesters, and a
/// gateway process, all on loopback.
namespace review
{

using milliseconds = std::chrono::milliseconds;

/// Milliseconds since the start of the program.
std::int64_t now_ms();

void pause(milliseconds time);

/// What was sent, answered and run, one line each.
class record final
{
public:
    explicit record(const std::string& path);
    void add(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// Header fields by name in lower case.
using header_map = std::map<std::string, std::string>;

/// A request or an answer. `start`: its first line.
struct message final
{
    std::string start;
    header_map headers;
    std::string body;
    bool complete = false; ///< false: the connection ended first

    std::string method() const;
    std::string target() const;
    int status() const; ///< 0 if it is no answer

    /// Returns the value of a header; empty if it is missing.
    std::string header(const std::string& name) const;
};

/// One connection; closed at the end of its life.
class connection final
{
public:
    explicit connection(int descriptor);
    ~connection();

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects to a port on loopback; null on failure.
    static std::unique_ptr<connection>
    open(std::uint16_t port, const std::string& ip = "127.0.0.1");

    bool send(std::string_view bytes);

    /// Reads a message with its body. Returns nothing if the connection ends or
    /// the time is over before any byte of it.
    std::optional<message> read(milliseconds limit);

    void close();
    void reset();

    /// Ends what another thread waits for on this connection.
    void interrupt();

private:
    bool fill(std::int64_t deadline);
    bool read_line(std::string& line, std::int64_t deadline);
    bool read_bytes(std::size_t count, std::string& to, std::int64_t deadline);
    bool read_chunks(std::string& to, std::int64_t deadline);

    std::mutex closing_; ///< guards the end of the descriptor
    int descriptor_;
    std::string buffer_;
};

/// Accepts connections on a free port; each is served on a thread of its own.
/// All threads have ended when it is destroyed.
class listener final
{
public:
    using handler = std::function<void(connection&)>;

    explicit listener(handler handle);
    ~listener();

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    std::uint16_t port() const { return port_; }
    std::string address() const;

    /// While it is down, connections end as soon as they are accepted; those
    /// that are open end at once.
    void set_down(bool down);

private:
    void accept_all();
    void serve(int descriptor);

    handler handle_;
    int descriptor_;
    std::uint16_t port_;
    std::mutex mutex_;
    bool ending_ = false;
    bool down_ = false;
    std::set<connection*> open_;
    std::vector<std::thread> threads_;
};

/// The platform's store: ranges and watches.
class store final
{
public:
    explicit store(record& log);

    void put(const std::string& key, const std::string& value);
    std::string address() const { return listener_->address(); }

private:
    struct item final
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void serve(connection& peer);
    std::string range(const std::string& prefix);
    std::string watch(const std::string& prefix, std::uint64_t after,
                      milliseconds wait);

    record& log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::unique_ptr<listener> listener_; ///< last: uses the other members
};

/// A server of the users. Answers 421 to requests for another instance.
class engine final
{
public:
    /// Serves one request; returns false to end the connection.
    using handler = std::function<bool(connection&, const message&)>;

    engine(std::string id, std::string service, handler handle);

    const std::string& id() const { return id_; }
    std::string address() const { return listener_.address(); }

    /// Ends all connections and serves none until it is up again.
    void set_down(bool down) { listener_.set_down(down); }

    /// Returns its entry in the store. `born`: its start in Unix milliseconds.
    std::string entry(std::uint64_t born, std::uint64_t sequence) const;

private:
    void serve(connection& peer) const;

    std::string id_;
    std::string service_;
    handler handle_;
    listener listener_;
};

/// Returns an answer of an engine with a seal.
std::string sealed_answer(const message& request, const std::string& body,
                          const std::string& more_headers = {});

/// Returns a refusal that states that the request has not run.
std::string not_executed(const message& request, int status);

/// Values of the settings that a case changes.
struct deployment final
{
    std::string store;
    std::string grace_s = "8"; ///< as the platform writes it
    std::string name = "edge-north-a-1";
    std::string ip = "127.0.0.1"; ///< a loopback address
    std::string seed_ip = "127.0.0.1";
    std::vector<std::uint16_t> ports = {}; ///< four; none: free ones
};

/// The project's gateway, started with the command of the deploy file.
class gateway final
{
public:
    gateway(const deployment& values, const std::string& folder, record& log);
    ~gateway();

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Starts the process again, with the same settings.
    void start();

    /// Waits until the process says that it is ready.
    bool wait_until_ready(milliseconds limit) const;

    /// Waits until the process has ended.
    bool wait_until_ended(milliseconds limit);

    const std::vector<std::uint16_t>& ports() const { return ports_; }

    /// Returns whether the process has ended by itself.
    bool ended();

    std::uint16_t port() const { return ports_.front(); }
    const std::string& ip() const { return ip_; }
    void signal(int number) const;

private:
    record& log_;
    std::string name_;
    std::string ip_;
    std::vector<std::uint16_t> ports_; ///< callers, readiness, two internal
    std::string settings_path_;
    std::string output_path_;
    pid_t process_ = -1;
};

} // namespace review
