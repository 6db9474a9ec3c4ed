#pragma once

#include "soak/soak_record.hpp"

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace mangolink::test
{

class soak_cluster;

/// Threads that send requests continuously, each on a persistent connection
/// until the gateway closes it. Some requests are abandoned before the answer,
/// some use a revoked key.
class soak_callers final
{
public:
    soak_callers(soak_cluster& cluster, std::uint64_t seed, unsigned callers);
    ~soak_callers();

    /// Stops the callers and returns the records of all requests.
    std::vector<soak_record> finish();

private:
    void run_caller(std::uint64_t seed, unsigned number);

    soak_cluster& cluster_;
    std::atomic<bool> stopping_{false};
    std::vector<std::vector<soak_record>> records_; ///< by caller
    std::vector<std::thread> threads_;
};

} // namespace mangolink::test
