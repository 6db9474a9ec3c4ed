#include "request/request_id.hpp"

#include <absl/random/distributions.h>
#include <absl/strings/str_format.h>

#include <cstring>

namespace mangolink
{

request_id request_id::random(absl::BitGenRef source)
{
    request_id id;
    for (auto& word : id.words_)
    {
        word = absl::Uniform<std::uint64_t>(source);
    }
    return id;
}

std::optional<request_id> request_id::from_bytes(std::string_view bytes)
{
    if (bytes.size() != size)
    {
        return std::nullopt;
    }
    request_id id;
    std::memcpy(id.words_.data(), bytes.data(), size);
    return id;
}

std::string request_id::bytes() const
{
    std::string result(size, '\0');
    std::memcpy(result.data(), words_.data(), size);
    return result;
}

std::string request_id::text() const
{
    return absl::StrFormat("%016x%016x", words_[0], words_[1]);
}

} // namespace mangolink
