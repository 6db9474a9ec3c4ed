#pragma once

#include "base/race_annotations.hpp"

#include <urcu-bp.h>

#include <memory>

namespace mangolink
{

/// RCU-protected pointer to a shared immutable value; reads take no lock.
///
/// Readers on any thread call load(); one writer at a time calls store().
template <class T>
class rcu_cell final
{
public:
    using pointer = std::shared_ptr<const T>;

    explicit rcu_cell(pointer initial = nullptr)
        : current_(new pointer(std::move(initial)))
    {
    }

    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    ~rcu_cell() { delete current_; }

    /// Returns the current value.
    pointer load() const
    {
        urcu_bp_read_lock();
        const pointer* current = rcu_dereference(current_);
        annotate_acquire(&current_);
        pointer copy = *current;
        annotate_release(&readers_);
        urcu_bp_read_unlock();
        return copy;
    }

    /// Publishes a value and waits until no reader accesses the previous one.
    void store(pointer value)
    {
        auto* replacement = new pointer(std::move(value));
        annotate_release(&current_);
        pointer* previous = rcu_xchg_pointer(&current_, replacement);
        urcu_bp_synchronize_rcu();
        annotate_acquire(&readers_);
        delete previous;
    }

private:
    // Also addresses for the annotations; mutable because load() is const.
    mutable pointer* current_;
    mutable char readers_ = 0;
};

} // namespace mangolink
