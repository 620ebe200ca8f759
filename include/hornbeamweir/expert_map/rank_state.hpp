#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Experts that a rank holds, by set.
using rank_experts = std::vector<std::vector<std::uint16_t>>;

/// \brief Experts by set and rank.
using group_experts = std::vector<std::vector<std::vector<std::uint16_t>>>;

/// \brief State of a rank whose maps are switched by order.
struct rank_state
{
    model_group_id group;
    /// Rises each time the group forms anew.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    /// Whether the group can work.
    bool open = false;
    /// Last pass that was begun.
    std::uint64_t step = 0;
    /// Number of orders that the rank has begun since its start.
    std::uint64_t orders = 0;
    /// Start of the rank; changes with each one.
    std::uint64_t start = 0;
    std::uint32_t active = 0;
    std::uint32_t queued = 0;
    /// Relative time that the rank needs for its work; over 1 is slow.
    double pace = 1;
    std::uint64_t map_version = 0;
    /// Version that the rank has accepted to copy, as far as its agent knows.
    std::uint64_t accepted_version = 0;
    /// Version that is copied whole and can be armed; 0 for none.
    std::uint64_t prepared_version = 0;
    /// Version that the rank switches to as a pass begins; 0 for none.
    std::uint64_t armed_version = 0;
    std::uint64_t armed_step = 0;
    /// Pass that the rank does not let begin.
    std::optional<std::uint64_t> held_step;

    [[nodiscard]] friend bool
    operator==(rank_state const&, rank_state const&) = default;
};

/// \brief What is ordered of a rank.
enum class rank_operation
{
    /// Copy the experts of a map.
    prepare,
    /// Switch to a prepared map as a pass begins.
    arm,
    /// Give up an armed map.
    disarm,
    /// Do not let a pass begin.
    hold,
    /// Let a held pass begin.
    release
};

template <>
struct enum_table<rank_operation>
{
    static constexpr std::array<enum_name<rank_operation>, 5> rows{
        {{rank_operation::prepare, "prepare"},
         {rank_operation::arm, "arm"},
         {rank_operation::disarm, "disarm"},
         {rank_operation::hold, "hold"},
         {rank_operation::release, "release"}}};
};

/// \brief An order to one rank.
struct rank_order
{
    std::uint32_t rank = 0;
    rank_operation operation = rank_operation::prepare;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    std::uint64_t epoch = 0;
    /// Orders with a lower fence than an earlier one are refused.
    std::uint64_t fence = 0;
    /// The order is refused if the rank has begun another number of orders, so
    /// that late copies have no effect once a later order has begun.
    std::uint64_t expected_orders = 0;
    /// For prepare.
    group_experts mapping;

    [[nodiscard]] friend bool
    operator==(rank_order const&, rank_order const&) = default;
};

} // namespace hornbeamweir
