#pragma once

namespace mangolink
{

/// Limits retries to a share of successes, so that retries cannot multiply
/// load when everything fails. Used by one thread.
class retry_budget final
{
public:
    /// Allows `share` retries for each success and `reserve` retries at once.
    retry_budget(double share, double reserve);

    /// Counts an attempt that succeeded.
    void succeeded();

    /// Takes one retry; false when the budget is spent.
    bool try_acquire();

private:
    double share_;
    double reserve_;
    double balance_;
};

} // namespace mangolink
