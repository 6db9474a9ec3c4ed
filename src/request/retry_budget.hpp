#pragma once

namespace mangolink
{

/// Limits retries to a fraction of the successful attempts, so that retries do
/// not amplify the load during an outage. Not thread-safe.
class retry_budget final
{
public:
    /// @param share  Retries allowed per success.
    /// @param reserve  Maximum number of accumulated retries.
    retry_budget(double share, double reserve);

    /// Records a successful attempt.
    void succeeded();

    /// Takes one retry from the budget. Returns false if it is exhausted.
    bool try_acquire();

private:
    double share_;
    double reserve_;
    double balance_;
};

} // namespace mangolink
