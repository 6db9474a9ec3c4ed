#pragma once

#include "base/clock.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// One kind of request in a mix.
struct request_class final
{
    std::string name;
    double weight = 1; ///< share of the arrivals
    std::string path;  ///< of the POST
    std::string customer;
    milliseconds deadline{3000};
    std::uint32_t prompt_chars = 200;
    std::uint32_t shared_chars = 0; ///< of the prompt, the same in a family
    std::uint32_t families = 1;     ///< of shared prompts
    std::uint32_t max_tokens = 0;   ///< 0: not a generation
    bool streamed = false;
    bool plain = false; ///< an application server's body
};

/// More arrivals for a while.
struct load_burst final
{
    std::chrono::duration<double> begin{0};
    std::chrono::duration<double> length{0};
    double factor = 1;
};

/// What a run of the load tool does.
struct load_plan final
{
    std::vector<request_class> classes;
    std::vector<load_burst> bursts;
    std::vector<std::string> targets; ///< host:port, used in turn
    double rate = 100;                ///< arrivals per second
    std::chrono::duration<double> length{10};
    std::uint64_t seed = 1;
    std::uint32_t threads = 1;

    /// Reads classes and bursts; throws std::exception when they are wrong.
    static load_plan parse(const nlohmann::json& value);
};

/// One request to send.
struct arrival final
{
    std::chrono::duration<double> at{0}; ///< after the begin of the run
    std::uint32_t kind = 0;              ///< index into classes
    std::uint32_t family = 0;
};

/// Returns the arrivals of a plan in order of time; the same for a seed.
std::vector<arrival> make_arrivals(const load_plan& plan);

/// Returns the JSON body of an arrival.
std::string body_of(const request_class& kind, const arrival& entry,
                    std::uint64_t serial);

} // namespace mangolink::bench
