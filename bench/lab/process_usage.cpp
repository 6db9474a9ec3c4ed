#include "lab/process_usage.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace mangolink::bench
{
namespace
{

/// Returns field `index` (1-based) of /proc/PID/stat.
std::uint64_t stat_field(const std::string& text, int index)
{
    // Field 2 is the program name in parentheses and may contain spaces.
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string word;
    for (int i = 3; i <= index; ++i)
    {
        rest >> word;
    }
    return word.empty() ? 0 : std::stoull(word);
}

} // namespace

process_usage process_usage::of(pid_t process)
{
    constexpr int user_time = 14;
    constexpr int system_time = 15;
    constexpr int resident_pages = 24;
    std::ifstream input("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(input, text);
    process_usage result;
    if (text.empty())
    {
        return result;
    }
    const auto ticks =
        stat_field(text, user_time) + stat_field(text, system_time);
    const auto per_second = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    result.processor = microseconds(ticks * 1'000'000 / per_second);
    result.resident_bytes = stat_field(text, resident_pages) *
                            static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return result;
}

milliseconds steal_time()
{
    constexpr int steal_column = 8;
    std::ifstream input("/proc/stat");
    std::string name;
    std::int64_t ticks = 0;
    input >> name;
    for (int i = 0; i < steal_column; ++i)
    {
        input >> ticks;
    }
    return milliseconds(ticks * 1000 / sysconf(_SC_CLK_TCK));
}

} // namespace mangolink::bench
