#include "lab/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace mangolink::bench
{

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& output)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& word : command)
    {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&id_, arguments[0], &actions, nullptr,
                                   arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        throw std::runtime_error("cannot start " + command[0]);
    }
}

child_process::~child_process()
{
    if (id_ > 0 && running())
    {
        ::kill(id_, SIGKILL);
        reap(true);
    }
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), ended_(other.ended_),
      exit_code_(other.exit_code_)
{
}

void child_process::signal(int number) const
{
    if (!ended_)
    {
        ::kill(id_, number);
    }
}

int child_process::wait(milliseconds limit)
{
    if (!wait_until([this] { return !running(); }, limit))
    {
        signal(SIGKILL);
        reap(true);
        return -1000;
    }
    return exit_code_;
}

bool child_process::running()
{
    return !reap(false);
}

bool child_process::handles(int number) const
{
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    std::uint64_t handled = 0;
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("SigBlk:") || line.starts_with("SigIgn:") ||
            line.starts_with("SigCgt:"))
        {
            handled |=
                std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
        }
    }
    return (handled >> (number - 1) & 1) != 0;
}

bool child_process::reap(bool block)
{
    int status = 0;
    if (ended_ || waitpid(id_, &status, block ? 0 : WNOHANG) != id_)
    {
        return ended_;
    }
    ended_ = true;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
}

} // namespace mangolink::bench
