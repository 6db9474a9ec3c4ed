#include "deployment.hpp"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace review
{
namespace
{

constexpr const char* program = "target/mangolink-gateway";

std::string host_of(unsigned number)
{
    return "127.0.0." + std::to_string(1 + number);
}

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

} // namespace

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

temporary_folder::temporary_folder() : path_("/tmp/mangolink-review-XXXXXX")
{
    if (::mkdtemp(path_.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary folder");
    }
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored; // a folder that stays does no harm
    std::filesystem::remove_all(path_, ignored);
}

gateway::gateway(unsigned number, unsigned gateways, const std::string& store,
                 int peer_port, const std::string& folder)
    : name_("edge-" + std::to_string(number)),
      settings_path_(folder + "/" + name_ + ".toml"),
      log_path_(folder + "/" + name_ + ".log")
{
    const std::string host = host_of(number);
    const auto free_address = [&host]
    { return host + ":" + std::to_string(free_port(host)); };
    callers_ = free_address();
    readiness_ = free_address();
    std::string seeds;
    for (unsigned other = 1; other <= gateways; ++other)
    {
        seeds += seeds.empty() ? "" : ", ";
        seeds += quoted(host_of(other) + ":" + std::to_string(peer_port));
    }
    std::ofstream out(settings_path_);
    out << "[instance]\nname = " << quoted(name_)
        << "\nzone = \"zone-a\"\nregion = \"region\"\n"
        << "log_level = \"notice\"\nmax_descriptors = 4100\n"
        << "memory_mb = 260\nprocessor_share = 0.19\n\n"
        << "[gateway]\ncallers = " << quoted(callers_)
        << "\nreadiness = " << quoted(readiness_)
        << "\npeers = " << quoted(host + ":" + std::to_string(peer_port))
        << "\noperators = " << quoted(free_address()) << "\nseeds = [" << seeds
        << "]\nstop_limit_ms = 8000\n\n"
        << "[platform]\nstore = " << quoted(store)
        << "\nzones = [\"zone-a=region\"]\n\n"
        << "[keys]\nrevocation_limit_ms = 5000\n\n"
        << "[retries]\nratio = 0.2\nwindow_ms = 10000\nslack = 58\n";
    out.close();
    start();
}

void gateway::start()
{
    end_ = "running";
    process_ = ::fork();
    if (process_ != 0)
    {
        return;
    }
    const int log = ::open(log_path_.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(program, program, "--settings", settings_path_.c_str(), nullptr);
    ::_exit(could_not_run);
}

void gateway::kill()
{
    if (running())
    {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = -1;
        end_ = "killed by the case";
    }
}

bool gateway::running()
{
    int status = 0;
    if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_)
    {
        process_ = -1;
        end_ = WIFSIGNALED(status)
                   ? "ended by signal " + std::to_string(WTERMSIG(status))
                   : "exited with " + std::to_string(WEXITSTATUS(status));
    }
    return process_ > 0;
}

bool gateway::wait_until_ready() const
{
    constexpr int tries = 500;
    for (int i = 0; i < tries; ++i)
    {
        if (ready())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

bool gateway::ready() const
{
    auto probe = connection::connect_to(readiness_);
    if (!probe.open() ||
        !probe.send("GET /v1/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n"))
    {
        return false;
    }
    const auto answer = probe.read_response(clock::now() + milliseconds(1000));
    return answer && answer->status() == 200;
}

std::string gateway::last_log_line() const
{
    std::ifstream in(log_path_);
    std::string last;
    std::string line;
    while (std::getline(in, line))
    {
        last = line.empty() ? last : line;
    }
    return last;
}

std::string engine_entry(const std::string& service, const std::string& address,
                         int slots, int start)
{
    constexpr int first_start_ms = 1'000'000;
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"zone-a","version":"v1","slots":)" +
           std::to_string(slots) +
           R"(,"state":"ready","coldRemainingMs":0,"born":)" +
           std::to_string(first_start_ms + start) + R"(,"sequence":1})";
}

std::string route_text(const std::string& prefix, const std::string& kind,
                       const std::string& service, const std::string& more)
{
    return R"({"name":"route)" + prefix +
           R"(","hostname":"site.example","prefix":")" + prefix +
           R"(","routeType":")" + kind + R"(","service":")" + service +
           R"(","priority":1,"maxAttempts":2,"anonymous":false)" + more + "}";
}

std::string configuration_text(int version, const std::string& routes,
                               const std::string& services,
                               const std::vector<std::string>& keys)
{
    std::string list;
    for (const auto& key : keys)
    {
        list += list.empty() ? "" : ",";
        list += quoted(key);
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes + R"(],"services":[)" + services +
           R"(],"limits":{"maxHeaderBytes":8192,"maxBodyBytes":4194304,)" +
           R"("headerTimeoutMs":2000,"idleTimeoutMs":10000},)" +
           R"("tenants":[{"name":"t1","apiKeys":[)" + list + "]}]}";
}

std::string request_text(const std::string& target, const std::string& id,
                         const std::string& key, milliseconds deadline,
                         const std::string& more_headers)
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Key: " + key +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" +
           more_headers + "Content-Length: 4\r\n\r\nbody";
}

} // namespace review
