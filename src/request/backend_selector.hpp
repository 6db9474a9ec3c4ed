#pragma once

#include "base/clock.hpp"
#include "process/member.hpp"

#include <absl/random/bit_gen_ref.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace mangolink
{

class member_table;

/// Settings of the selection of backend servers.
struct backend_selector_settings final
{
    std::string policy =
        "expected_wait";          ///< or "round_robin" or "least_requests"
    std::uint32_t choices = 2;    ///< random candidates per distance class
    microseconds zone_price{500}; ///< cost of another zone as queue wait
    microseconds region_price{30'000};
};

/// A candidate with its score. Lower scores are better.
struct scored_member final
{
    member_id id{};
    microseconds score{0};
    microseconds wait{0}; ///< expected time in the queue
};

/// Chooses the backend server of an attempt. Used only on the thread of the
/// executor.
class backend_selector final
{
public:
    backend_selector(backend_selector_settings settings,
                     const member_table& members, absl::BitGenRef random);

    /// Returns the best usable member of the pool that is not excluded, or
    /// nullopt when there is none.
    /// @param work  Expected service time.
    std::optional<scored_member> select(std::uint32_t pool,
                                        std::span<const member_id> excluded,
                                        microseconds work,
                                        boot_clock::time_point now);

    /// Returns the expected queue wait at a member.
    microseconds expected_wait(const member& candidate) const;

    /// Returns all usable members of the pool with their scores, best first.
    std::vector<scored_member> explain(std::uint32_t pool, microseconds work,
                                       boot_clock::time_point now) const;

private:
    using policy_member = std::optional<scored_member> (backend_selector::*)(
        std::span<const member_id>);

    struct policy_entry;
    static policy_member policy_named(const std::string& name);

    std::optional<scored_member>
    choose_expected_wait(std::span<const member_id> usable);
    std::optional<scored_member>
    choose_round_robin(std::span<const member_id> usable);
    std::optional<scored_member>
    choose_least_requests(std::span<const member_id> usable);

    /// Fills samples_ with candidates and their scores.
    void sample(std::span<const member_id> usable);
    scored_member score(member_id id, microseconds work) const;

    backend_selector_settings settings_;
    const member_table& members_;
    absl::BitGenRef random_;
    policy_member policy_;
    std::uint64_t next_index_ = 0;
    microseconds work_{0};          ///< expected work of the current selection
    std::vector<member_id> usable_; ///< member to avoid reallocation
    std::vector<scored_member> samples_;
};

} // namespace mangolink
