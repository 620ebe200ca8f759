#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstdint>

namespace hornbeamweir
{

/// \brief How the replicas of a lock-step group work, as configured.
struct engine_profile
{
    /// Requests that a replica executes at once.
    std::uint32_t slots = 1;
    std::uint64_t kv_cache_tokens = 0;
    /// Token steps in a pass that has writers.
    std::uint32_t stride = 1;
    /// Time of a step, and what each writing request adds to it.
    duration step{};
    duration per_sequence{};
    double prompt_tokens_per_second = 0;
    std::uint32_t mean_prompt_tokens = 0;
    /// Sets of layers that share a placement, and experts in each.
    std::uint32_t expert_sets = 0;
    std::uint32_t experts = 0;
    /// Experts that a rank may hold in a set.
    std::uint32_t slots_per_rank = 0;
    /// Experts new to a rank that one map may bring into a set.
    std::uint32_t max_new_experts_per_map = 0;
    double expert_megabytes = 0;
    double link_megabits_per_second = 0;
    /// Part of the work for a token that experts do.
    double expert_share = 0;

    [[nodiscard]] friend bool
    operator==(engine_profile const&, engine_profile const&) = default;
};

} // namespace hornbeamweir
