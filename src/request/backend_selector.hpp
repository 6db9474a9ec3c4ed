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

/// How backend servers are compared.
struct backend_selector_settings final
{
    std::string policy = "expected_wait"; ///< or round_robin, least_requests
    std::uint32_t choices = 2;            ///< sampled per distance
    microseconds zone_price{500}; ///< wait that a change of zone is worth
    microseconds region_price{30'000};
};

/// One candidate with what its choice would cost; for explanations.
struct scored_member final
{
    member_id id{};
    microseconds score{0};
    microseconds wait{0}; ///< expected time in the queue
};

/// Chooses the backend server of an attempt. Used by the thread of the
/// executor only.
class backend_selector final
{
public:
    backend_selector(backend_selector_settings settings,
                     const member_table& members, absl::BitGenRef random);

    /// Returns the best usable member of the pool for work of this expected
    /// length that is not excluded, or nothing when there is none.
    std::optional<scored_member> select(std::uint32_t pool,
                                        std::span<const member_id> excluded,
                                        microseconds work,
                                        boot_clock::time_point now);

    /// Returns the expected time in the queue of a member.
    microseconds expected_wait(const member& candidate) const;

    /// Returns every usable member of the pool with its score, best first.
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

    /// Fills samples_ with scored candidates.
    void sample(std::span<const member_id> usable);
    scored_member score(member_id id, microseconds work) const;

    backend_selector_settings settings_;
    const member_table& members_;
    absl::BitGenRef random_;
    policy_member policy_;
    std::uint64_t next_index_ = 0;
    microseconds work_{0};          ///< of the choice being made
    std::vector<member_id> usable_; ///< kept to avoid allocation
    std::vector<scored_member> samples_;
};

} // namespace mangolink
