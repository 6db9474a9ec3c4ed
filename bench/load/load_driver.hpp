#pragma once

#include "load/load_plan.hpp"
#include "load/load_sample.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Open-loop load generator: sends each request at its arrival time without
/// waiting for earlier responses, and collects the samples. Not thread-safe.
class load_driver final
{
public:
    /// Handles the arrivals whose index modulo `step` is `first`.
    load_driver(const load_plan& plan, const std::vector<arrival>& arrivals,
                std::size_t first, std::size_t step);
    ~load_driver();

    /// Returns after the last response. All drivers of a run get the same
    /// `begin`.
    std::vector<load_sample> run(boot_clock::time_point begin);

private:
    class transfer;

    void send(std::size_t index, boot_clock::time_point intended);
    void collect();

    const load_plan& plan_;
    const std::vector<arrival>& arrivals_;
    std::size_t next_;
    std::size_t step_;
    void* multi_;
    std::vector<std::unique_ptr<transfer>> idle_;
    std::vector<load_sample> samples_;
    std::size_t active_ = 0;
    boot_clock::time_point begin_;
};

/// Runs a plan with one driver per thread and returns all samples.
std::vector<load_sample> run_load(const load_plan& plan);

} // namespace mangolink::bench
