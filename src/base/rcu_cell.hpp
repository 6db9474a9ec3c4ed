#pragma once

#include "base/race_annotations.hpp"

#include <urcu-bp.h>

#include <memory>

namespace mangolink
{

/// Holds one shared immutable value that readers copy without a lock.
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

    /// Returns the newest value stored.
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

    /// Publishes a value and waits until no reader uses the previous one.
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
    // Addresses for the annotations; mutable since readers are const.
    mutable pointer* current_;
    mutable char readers_ = 0;
};

} // namespace mangolink
