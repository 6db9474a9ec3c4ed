#pragma once

#include <cstdint>
#include <functional>
#include <list>

namespace mangolink
{

class memory_budget;

/// Who holds the bytes of an account.
enum class memory_holder : std::uint8_t
{
    server_answer,
    caller_request,
    peer_request,
    store_answer,
    probe ///< request of a load balancer or an operator
};

/// Returns the name for logs and metrics.
const char* name_of(memory_holder holder);

/// Received bytes that one connection or request holds, charged to a budget
/// until it is destroyed. Used by one thread.
class memory_account final
{
public:
    /// `on_reclaim`: called once if the budget takes the bytes back for another
    /// account; ends what holds them, without destroying the account.
    memory_account(memory_budget& budget, memory_holder holder,
                   std::function<void()> on_reclaim);
    ~memory_account();

    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    /// Sets the number of bytes held. Returns false if the budget has taken
    /// them back, now or before; the holder must then free them.
    bool resize(std::uint64_t bytes);

    /// Sets the number of bytes held, which the budget can't take back from
    /// now on. Returns false if too many are pinned already.
    bool pin(std::uint64_t bytes);

    /// Changes what ends the holder.
    void set_on_reclaim(std::function<void()> on_reclaim);

    memory_holder holder() const { return holder_; }
    std::uint64_t bytes() const { return bytes_; }
    bool reclaimed() const { return reclaimed_; }

private:
    friend class memory_budget;

    memory_budget& budget_;
    std::list<memory_account*>::iterator position_; ///< in the budget
    memory_holder holder_;
    std::function<void()> on_reclaim_;
    std::uint64_t bytes_ = 0;
    bool pinned_ = false;
    bool reclaimed_ = false;
};

} // namespace mangolink
