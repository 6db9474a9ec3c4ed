#pragma once

namespace mangolink
{

/// Blocks a signal until its handler is installed, so that one that arrives
/// while the process starts neither terminates it nor is lost. Create it before
/// any thread starts. Main thread only.
class deferred_signal final
{
public:
    explicit deferred_signal(int number);

    /// Delivers the signal if it is pending, and from now on.
    void deliver() const;

private:
    int number_;
};

} // namespace mangolink
