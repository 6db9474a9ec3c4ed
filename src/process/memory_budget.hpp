#pragma once

#include <cstdint>
#include <functional>
#include <list>

namespace mangolink
{

class memory_account;

/// Bounds the received bytes that all connections of a process hold together.
///
/// Holders charge their bytes to accounts. A charge beyond the bound takes
/// bytes back, from the largest account first and the newest of equal ones,
/// except from pinned accounts: what was received fairly is small, and one
/// that grows without end becomes the largest. Used by one thread.
class memory_budget final
{
public:
    /// Called with each account whose bytes are taken back.
    using listener = std::function<void(const memory_account&)>;

    /// `limit`: in bytes. Pinned accounts hold half of it at most.
    memory_budget(std::uint64_t limit, listener on_reclaim);
    ~memory_budget();

    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    std::uint64_t limit() const { return limit_; }

    /// Returns the bytes charged to all accounts.
    std::uint64_t used() const { return used_; }

    /// Returns whether this many more bytes can be pinned.
    bool can_pin(std::uint64_t bytes) const
    {
        return pinned_ + bytes <= limit_ / 2;
    }

private:
    friend class memory_account;

    using account_list = std::list<memory_account*>;

    account_list::iterator add(memory_account& account);
    void remove(memory_account& account, account_list::iterator position);
    void charge(memory_account& account, std::uint64_t bytes);
    memory_account* choose_loser() const;

    std::uint64_t limit_;
    listener on_reclaim_;
    account_list accounts_; ///< newest last
    std::uint64_t used_ = 0;
    std::uint64_t pinned_ = 0;
    std::uint64_t reclaimed_ = 0; ///< taken back and not freed yet
};

} // namespace mangolink
