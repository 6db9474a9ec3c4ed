#pragma once

#include "base/clock.hpp"

#include <algorithm>

namespace mangolink
{

/// Token bucket whose rate and size may change at any time. Not thread-safe.
class token_bucket final
{
public:
    /// Starts with some tokens.
    token_bucket(double tokens, boot_clock::time_point now)
        : tokens_(tokens), filled_(now)
    {
    }

    /// Adds the tokens since the last call, up to the size.
    void fill(double per_second, double size, boot_clock::time_point now)
    {
        const std::chrono::duration<double> elapsed = now - filled_;
        tokens_ = std::min(size, tokens_ + elapsed.count() * per_second);
        filled_ = now;
    }

    /// Takes one token, if there is one.
    bool try_take()
    {
        const bool taken = has_token();
        tokens_ -= taken ? 1 : 0;
        return taken;
    }

    bool has_token() const { return tokens_ >= 1; }

    /// Adds a token that was taken and not used.
    void put_back() { tokens_ += 1; }

    /// Removes all tokens.
    void clear() { tokens_ = std::min(tokens_, 0.0); }

    double tokens() const { return tokens_; }

    /// Returns the time from the last fill() until there is a token, rounded
    /// up. `per_second` must not be 0.
    microseconds time_until_token(double per_second) const
    {
        const std::chrono::duration<double> wait((1 - tokens_) / per_second);
        return has_token() ? microseconds(0)
                           : std::chrono::duration_cast<microseconds>(wait) +
                                 microseconds(1);
    }

private:
    double tokens_;
    boot_clock::time_point filled_;
};

} // namespace mangolink
