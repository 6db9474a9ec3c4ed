#pragma once

#include "base/clock.hpp"
#include "request/stage_item_outcome.hpp"
#include "request/stage_plan.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

/// Takes the ends of the pieces of an order.
class stage_client
{
public:
    virtual ~stage_client() = default;

    /// Returns whether pieces are still wanted.
    virtual bool wants_items() const = 0;

    /// Takes the end of a piece. A result that is not wanted is given up by
    /// the client.
    virtual void item_ended(stage_item index, stage_item_answer answer) = 0;
};

/// Pieces of one stage of a request that may be made now.
struct stage_task final
{
    std::weak_ptr<stage_client> client;
    std::string request_id;
    std::string service;
    std::uint32_t stage = 0;
    std::vector<std::uint32_t> pieces;
    std::string item_key;            ///< for stages without inputs
    std::vector<std::string> inputs; ///< results of earlier stages
    boot_clock::time_point due;      ///< made later, the request is late
    boot_clock::time_point deadline; ///< made later, they are of no use
    std::uint32_t stages_after = 0;  ///< that must still follow
    std::uint64_t result_bytes = 0;  ///< approximate size of one result
    std::uint64_t input_bytes = 0;   ///< approximate size of one input
    std::string preferred_zone;      ///< of the model engine; empty: none
    milliseconds preference{0};      ///< how long may be waited for it

    /// Returns whether somebody still waits for the pieces.
    bool wanted() const
    {
        const auto waiting = client.lock();
        return waiting && waiting->wants_items();
    }
};

} // namespace mangolink
