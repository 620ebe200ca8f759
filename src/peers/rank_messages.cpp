#include <hornbeamweir/peers/rank_messages.hpp>

namespace hornbeamweir
{

namespace
{

template <typename Numbers>
std::vector<std::uint16_t> to_expert_ids(Numbers const& in)
{
    std::vector<std::uint16_t> out;
    out.reserve(static_cast<std::size_t>(in.size()));
    for (std::uint32_t const it : in)
        out.push_back(static_cast<std::uint16_t>(it));
    return out;
}

void append_experts(std::vector<std::uint16_t> const& in, wire::expert_set& out)
{
    for (std::uint16_t const it : in)
        out.add_experts(it);
}

} // namespace

wire::rank_report to_wire(rank_state const& state)
{
    wire::rank_report out;
    out.set_group(state.group.str());
    out.set_epoch(state.epoch);
    out.set_rank(state.rank);
    out.set_ranks(state.ranks);
    out.set_open(state.group_formed);
    out.set_step(state.step);
    out.set_orders(state.orders_begun);
    out.set_start(state.incarnation);
    out.set_active(state.active);
    out.set_queued(state.queued);
    out.set_pace(state.slowdown);
    out.set_map_version(state.map_version);
    out.set_accepted_version(state.accepted_version);
    out.set_prepared_version(state.prepared_version);
    out.set_armed_version(state.armed_version);
    out.set_armed_step(state.armed_step);
    if (state.held_step)
        out.set_held_step(*state.held_step);
    return out;
}

rank_state from_wire(wire::rank_report const& in)
{
    rank_state out;
    out.group = model_group_id{in.group()};
    out.epoch = in.epoch();
    out.rank = in.rank();
    out.ranks = in.ranks();
    out.group_formed = in.open();
    out.step = in.step();
    out.orders_begun = in.orders();
    out.incarnation = in.start();
    out.active = in.active();
    out.queued = in.queued();
    out.slowdown = in.pace();
    out.map_version = in.map_version();
    out.accepted_version = in.accepted_version();
    out.agent_accepts_deltas = in.accepts_deltas();
    out.prepared_version = in.prepared_version();
    out.armed_version = in.armed_version();
    out.armed_step = in.armed_step();
    if (in.has_held_step())
        out.held_step = in.held_step();
    return out;
}

wire::rank_order to_wire(rank_order const& order, group_experts const* base)
{
    wire::rank_order out;
    out.set_rank(order.rank);
    out.set_operation(std::string{name_of(order.operation)});
    out.set_version(order.version);
    out.set_step(order.step);
    out.set_epoch(order.epoch);
    out.set_fence(order.fence);
    out.set_expected_orders(order.expected_orders);
    std::optional<map_delta> const delta =
        base ? difference_of(*base, order.mapping) : std::nullopt;
    if (delta)
    {
        out.set_base_version(order.base_version);
        out.set_delta_stride(delta->stride);
        out.set_delta_result_hash(delta->result_hash);
        out.mutable_delta_cells()->Assign(
            delta->cells.begin(), delta->cells.end());
        return out;
    }
    out.set_sets(static_cast<std::uint32_t>(order.mapping.size()));
    for (rank_experts const& set : order.mapping)
    {
        for (std::vector<std::uint16_t> const& experts : set)
            append_experts(experts, *out.add_mapping());
    }
    return out;
}

rank_order from_wire(wire::rank_order const& in)
{
    rank_order out;
    out.rank = in.rank();
    out.operation = enum_from_name<rank_operation>(in.operation())
                        .value_or(rank_operation::release);
    out.version = in.version();
    out.step = in.step();
    out.epoch = in.epoch();
    out.fence = in.fence();
    out.expected_orders = in.expected_orders();
    out.base_version = in.base_version();
    if (in.sets() == 0)
        return out;
    int const ranks = in.mapping_size() / static_cast<int>(in.sets());
    for (int n = 0; n < in.mapping_size(); ++n)
    {
        if (n % ranks == 0)
            out.mapping.emplace_back();
        out.mapping.back().push_back(to_expert_ids(in.mapping(n).experts()));
    }
    return out;
}

void add_experts(rank_experts const& experts, wire::rank_report& out)
{
    for (std::vector<std::uint16_t> const& set : experts)
        append_experts(set, *out.add_in_force());
}

std::optional<rank_experts> experts_of(wire::rank_report const& in)
{
    if (in.in_force_size() == 0)
        return std::nullopt;
    rank_experts out;
    for (wire::expert_set const& set : in.in_force())
        out.push_back(to_expert_ids(set.experts()));
    return out;
}

map_delta delta_of(wire::rank_order const& in)
{
    map_delta out;
    out.stride = in.delta_stride();
    out.cells.assign(in.delta_cells().begin(), in.delta_cells().end());
    out.result_hash = in.delta_result_hash();
    return out;
}

} // namespace hornbeamweir
