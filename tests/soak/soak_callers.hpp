#pragma once

#include "soak/soak_record.hpp"

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace mangolink::test
{

class soak_cluster;

/// Callers that make requests all the while, on connections that they keep
/// until the process at the other end is gone. Some leave before the answer,
/// some use a key for longer than it holds.
class soak_callers final
{
public:
    soak_callers(soak_cluster& cluster, std::uint64_t seed, unsigned callers);
    ~soak_callers();

    /// Ends the callers and returns all that they did.
    std::vector<soak_record> finish();

private:
    void run_caller(std::uint64_t seed, unsigned number);

    soak_cluster& cluster_;
    std::atomic<bool> stopping_{false};
    std::vector<std::vector<soak_record>> records_; ///< by caller
    std::vector<std::thread> threads_;
};

} // namespace mangolink::test
