#include "request/stream_assembler.hpp"

namespace mangolink
{
namespace
{

/// Chunks kept that came before their turn; more than this are dropped and
/// the stream then fails its final mark.
constexpr std::size_t max_early = 1024;

} // namespace

std::string stream_assembler::add(std::uint32_t sequence, std::string data)
{
    std::string released;
    if (sequence < next_)
    {
        return released;
    }
    if (sequence > next_)
    {
        if (early_.size() < max_early)
        {
            early_.emplace(sequence, std::move(data));
        }
        return released;
    }
    released = std::move(data);
    digest_.add(released);
    ++next_;
    for (auto it = early_.begin(); it != early_.end() && it->first == next_;
         it = early_.erase(it))
    {
        digest_.add(it->second);
        released += it->second;
        ++next_;
    }
    return released;
}

void stream_assembler::mark_end(std::uint32_t chunks, std::uint64_t digest)
{
    count_ = chunks;
    promised_ = digest;
}

bool stream_assembler::ended() const
{
    return count_ && next_ >= *count_;
}

} // namespace mangolink
