#pragma once

#include "base/clock.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Class of requests in the traffic mix.
struct request_class final
{
    std::string name;
    double weight = 1; ///< relative share of the arrivals
    std::string path;  ///< of the POST request
    std::string customer;
    milliseconds deadline{3000};
    std::uint32_t prompt_chars = 200;
    std::uint32_t shared_chars = 0; ///< prompt prefix common to a family
    std::uint32_t families = 1;     ///< number of distinct shared prefixes
    std::uint32_t max_tokens = 0;   ///< 0: not sent
    bool streamed = false;
    bool plain = false; ///< body for an application server
};

/// Interval during which the arrival rate is multiplied.
struct load_burst final
{
    std::chrono::duration<double> begin{0};
    std::chrono::duration<double> length{0};
    double factor = 1;
};

/// Parameters of a load run.
struct load_plan final
{
    std::vector<request_class> classes;
    std::vector<load_burst> bursts;
    std::vector<std::string> targets; ///< host:port, used round-robin
    double rate = 100;                ///< arrivals per second
    std::chrono::duration<double> length{10};
    std::uint64_t seed = 1;
    std::uint32_t threads = 1;

    /// Parses classes and bursts; throws std::exception if they are invalid.
    static load_plan parse(const nlohmann::json& value);
};

/// Scheduled request.
struct arrival final
{
    std::chrono::duration<double> at{0}; ///< since the start of the run
    std::uint32_t kind = 0;              ///< index into classes
    std::uint32_t family = 0;
};

/// Returns the Poisson arrivals of a plan in order of time; deterministic for a
/// seed.
std::vector<arrival> make_arrivals(const load_plan& plan);

/// Returns the JSON body of the request of an arrival.
std::string body_of(const request_class& kind, const arrival& entry,
                    std::uint64_t serial);

} // namespace mangolink::bench
