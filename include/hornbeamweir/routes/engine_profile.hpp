#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstdint>

namespace hornbeamweir
{

/// \brief Configured properties of the inference engine of a lock-step group.
struct engine_profile
{
    /// Requests that a replica executes concurrently.
    std::uint32_t slots = 1;
    /// Capacity of the KV cache of a replica, in tokens.
    std::uint64_t kv_cache_tokens = 0;
    /// Token steps per forward pass while any request is decoding.
    std::uint32_t stride = 1;
    /// Base time of a token step.
    duration step{};
    /// Time that each decoding request adds to a token step.
    duration per_sequence{};
    double prompt_tokens_per_second = 0;
    std::uint32_t mean_prompt_tokens = 0;
    /// Number of sets of layers that share a placement of experts.
    std::uint32_t expert_sets = 0;
    /// Number of experts per set.
    std::uint32_t experts = 0;
    /// Maximum number of experts per set at a rank.
    std::uint32_t slots_per_rank = 0;
    /// Maximum number of experts per set that one map may add to a rank.
    std::uint32_t max_new_experts_per_map = 0;
    double expert_megabytes = 0;
    double link_megabits_per_second = 0;
    /// Fraction of the work per token that is done by experts.
    double expert_share = 0;

    [[nodiscard]] friend bool
    operator==(engine_profile const&, engine_profile const&) = default;
};

} // namespace hornbeamweir
