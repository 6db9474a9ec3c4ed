#include "request/idempotency_key.hpp"

#include <absl/random/distributions.h>
#include <absl/strings/str_format.h>

#include <charconv>
#include <vector>

namespace mangolink
{
namespace
{

constexpr std::string_view version_mark = "mk1";
constexpr std::size_t max_length = 256;

template <class T>
bool read_number(std::string_view text, int base, T& value)
{
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    return result.ec == std::errc() && result.ptr == end;
}

/// Removes and returns the part after the last dot.
std::optional<std::string_view> split_last(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view last = text.substr(dot + 1);
    text = text.substr(0, dot);
    return last;
}

} // namespace

idempotency_key idempotency_key::issue(std::string server, incarnation owner,
                                       std::chrono::sys_seconds expiry,
                                       absl::BitGenRef random)
{
    return {std::move(server), owner, expiry,
            absl::Uniform<std::uint64_t>(random)};
}

std::optional<idempotency_key> idempotency_key::parse(std::string_view text)
{
    if (text.size() > max_length)
    {
        return std::nullopt;
    }
    const auto nonce = split_last(text);
    const auto expiry = nonce ? split_last(text) : std::nullopt;
    const auto owner = expiry ? split_last(text) : std::nullopt;
    const auto mark = text.substr(0, version_mark.size() + 1);
    if (!owner || mark != "mk1." || text.size() == mark.size())
    {
        return std::nullopt;
    }
    idempotency_key key;
    std::uint64_t owner_value = 0;
    std::int64_t expiry_value = 0;
    if (!read_number(*nonce, 16, key.nonce) ||
        !read_number(*owner, 16, owner_value) ||
        !read_number(*expiry, 10, expiry_value))
    {
        return std::nullopt;
    }
    key.server = std::string(text.substr(mark.size()));
    key.owner = incarnation(owner_value);
    key.expiry = std::chrono::sys_seconds(std::chrono::seconds(expiry_value));
    return key;
}

std::string idempotency_key::text() const
{
    return absl::StrFormat("mk1.%s.%s.%d.%016x", server, owner.text(),
                           expiry.time_since_epoch().count(), nonce);
}

} // namespace mangolink
