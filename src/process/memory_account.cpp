#include "process/memory_account.hpp"

#include "process/memory_budget.hpp"

#include <cstddef>
#include <utility>

namespace mangolink
{

const char* name_of(memory_holder holder)
{
    static constexpr const char* names[] = {"server_answer", "caller_request",
                                            "peer_request", "store_answer",
                                            "probe"};
    return names[static_cast<std::size_t>(holder)];
}

memory_account::memory_account(memory_budget& budget, memory_holder holder,
                               std::function<void()> on_reclaim)
    : budget_(budget), position_(budget.add(*this)), holder_(holder),
      on_reclaim_(std::move(on_reclaim))
{
}

memory_account::~memory_account()
{
    budget_.remove(*this, position_);
}

bool memory_account::resize(std::uint64_t bytes)
{
    budget_.charge(*this, bytes);
    return !reclaimed_;
}

bool memory_account::pin(std::uint64_t bytes)
{
    if (reclaimed_ || !budget_.can_pin(bytes))
    {
        return false;
    }
    pinned_ = true;
    budget_.pinned_ += bytes_;
    budget_.charge(*this, bytes);
    return true;
}

void memory_account::set_on_reclaim(std::function<void()> on_reclaim)
{
    on_reclaim_ = std::move(on_reclaim);
}

} // namespace mangolink
