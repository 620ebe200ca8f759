#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Experts that a rank holds, indexed by expert set.
/// \remarks An expert set is a set of layers that share one placement.
using rank_experts = std::vector<std::vector<std::uint16_t>>;

/// \brief Experts that each rank of a group holds, indexed by expert set and
/// rank.
/// \remarks These are the contents of a map for engines that switch maps when
/// ordered to; engines that agree on maps among themselves use expert_map.
using group_experts = std::vector<std::vector<std::vector<std::uint16_t>>>;

/// \brief Placement that the orders of one change share.
using shared_experts = std::shared_ptr<group_experts const>;

struct map_delta;

/// \brief Reported state of a rank whose engine switches maps when ordered to.
/// \remarks A step is the number of a forward pass of the group.
struct rank_state
{
    model_group_id group;
    /// Increases each time the group is re-formed.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    /// Whether the group is complete and can run passes.
    bool group_formed = false;
    /// Number of the last pass that was started.
    std::uint64_t step = 0;
    /// Number of orders that the rank has begun to execute since it started.
    std::uint64_t orders_begun = 0;
    /// Identifies the run of the rank; increases with each restart.
    std::uint64_t incarnation = 0;
    /// Requests that are being executed, and that wait for execution.
    std::uint32_t active = 0;
    std::uint32_t queued = 0;
    /// Execution time relative to a rank at normal speed; above 1 is slower.
    double slowdown = 1;
    std::uint64_t map_version = 0;
    /// Map that the rank has accepted to copy, as far as its agent knows.
    std::uint64_t accepted_version = 0;
    /// Whether the coordinator read the state from the rank itself, as its
    /// agent is silent.
    bool read_directly = false;
    /// Whether its agent accepts orders that carry only a difference of maps;
    /// agents of earlier versions do not.
    bool agent_accepts_deltas = false;
    /// Whether its agent can derive the initial map of a group, so that an
    /// order may carry the difference to it.
    bool agent_knows_initial_map = false;
    /// Map that is completely copied and can be armed; 0 for none.
    std::uint64_t prepared_version = 0;
    /// Map that the rank switches to at the start of a pass; 0 for none.
    std::uint64_t armed_version = 0;
    /// Pass at whose start the armed map comes into force.
    std::uint64_t armed_step = 0;
    /// Pass that the rank prevents the group from starting, if any.
    std::optional<std::uint64_t> held_step;

    [[nodiscard]] friend bool
    operator==(rank_state const&, rank_state const&) = default;
};

/// \brief Operations that a rank can be ordered to execute.
enum class rank_operation
{
    /// Copy the expert weights of a map.
    prepare,
    /// Switch to a prepared map at the start of a given pass.
    arm,
    /// Cancel the switch to an armed map.
    disarm,
    /// Prevent a given pass from starting.
    hold,
    /// Allow a held pass to start.
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

/// \brief Order to one rank.
struct rank_order
{
    std::uint32_t rank = 0;
    rank_operation operation = rank_operation::prepare;
    /// Map to prepare, arm or disarm; 0 for other operations.
    std::uint64_t version = 0;
    /// Pass to hold or release, or at whose start to switch; else 0.
    std::uint64_t step = 0;
    /// Epoch of the group; a rank rejects orders of another epoch.
    std::uint64_t epoch = 0;
    /// Fencing token; a rank rejects orders with a lower one than it has seen.
    std::uint64_t fence = 0;
    /// Number of orders that the rank must have begun, see
    /// rank_state::orders_begun. The rank rejects the order otherwise, so that
    /// a delayed duplicate has no effect once a later order has begun.
    std::uint64_t expected_orders = 0;
    /// Placement of the experts; used by prepare only.
    shared_experts mapping;
    /// Difference of the placement to a map that the rank's agent knows, which
    /// is all that an order to the agent need carry; null if there is none.
    std::shared_ptr<map_delta const> delta;
    /// Version of the map to which the difference was computed; 0 for the
    /// initial map of the group.
    std::uint64_t base_version = 0;
    /// Whether agents may pass the order on to others: it was not sent before.
    bool may_be_relayed = false;

    [[nodiscard]] friend bool
    operator==(rank_order const&, rank_order const&) = default;
};

} // namespace hornbeamweir
