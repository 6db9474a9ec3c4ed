#include "process/memory_budget.hpp"

#include "process/memory_account.hpp"

#include <utility>

namespace mangolink
{

memory_budget::memory_budget(std::uint64_t limit, listener on_reclaim)
    : limit_(limit), on_reclaim_(std::move(on_reclaim))
{
}

memory_budget::~memory_budget() = default;

memory_budget::account_list::iterator
memory_budget::add(memory_account& account)
{
    return accounts_.insert(accounts_.end(), &account);
}

void memory_budget::remove(memory_account& account,
                           account_list::iterator position)
{
    charge(account, 0);
    accounts_.erase(position);
}

void memory_budget::charge(memory_account& account, std::uint64_t bytes)
{
    const auto replace = [&account, bytes](std::uint64_t& total)
    { total = total - account.bytes_ + bytes; };
    replace(used_);
    if (account.pinned_)
    {
        replace(pinned_);
    }
    if (account.reclaimed_)
    {
        replace(reclaimed_);
    }
    const bool grows = bytes > account.bytes_;
    account.bytes_ = bytes;
    while (grows && used_ - reclaimed_ > limit_)
    {
        auto* loser = choose_loser();
        if (loser == nullptr)
        {
            return; // the rest is pinned
        }
        loser->reclaimed_ = true;
        reclaimed_ += loser->bytes_;
        on_reclaim_(*loser);
        if (loser != &account)
        {
            loser->on_reclaim_();
        }
    }
}

memory_account* memory_budget::choose_loser() const
{
    memory_account* result = nullptr;
    for (auto* account : accounts_)
    {
        const bool eligible =
            !account->pinned_ && !account->reclaimed_ && account->bytes_ > 0;
        if (eligible &&
            (result == nullptr || account->bytes_ >= result->bytes_))
        {
            result = account;
        }
    }
    return result;
}

} // namespace mangolink
