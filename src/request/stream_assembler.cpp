#include "request/stream_assembler.hpp"

namespace mangolink
{
namespace
{

/// Maximum number of buffered out-of-order chunks. Excess chunks are dropped,
/// and the stream then fails its completeness check.
constexpr std::size_t max_out_of_order = 1024;

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
        if (out_of_order_.size() < max_out_of_order)
        {
            out_of_order_.emplace(sequence, std::move(data));
        }
        return released;
    }
    released = std::move(data);
    digest_.add(released);
    ++next_;
    for (auto it = out_of_order_.begin();
         it != out_of_order_.end() && it->first == next_;
         it = out_of_order_.erase(it))
    {
        digest_.add(it->second);
        released += it->second;
        ++next_;
    }
    return released;
}

void stream_assembler::mark_end(std::uint32_t chunks, std::uint64_t digest)
{
    expected_count_ = chunks;
    expected_digest_ = digest;
}

bool stream_assembler::ended() const
{
    return expected_count_ && next_ >= *expected_count_;
}

} // namespace mangolink
