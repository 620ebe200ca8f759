#include <hornbeamweir/expert_map/order_relay.hpp>
#include <hornbeamweir/peers/rank_messages.hpp>

#include <algorithm>

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
    out.set_accepts_deltas(state.agent_accepts_deltas);
    out.set_knows_initial_map(state.agent_knows_initial_map);
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
    out.agent_knows_initial_map = in.knows_initial_map();
    out.read_directly = in.read_directly();
    out.prepared_version = in.prepared_version();
    out.armed_version = in.armed_version();
    out.armed_step = in.armed_step();
    if (in.has_held_step())
        out.held_step = in.held_step();
    return out;
}

wire::rank_order to_wire(rank_order const& order)
{
    wire::rank_order out;
    out.set_rank(order.rank);
    out.set_operation(std::string{name_of(order.operation)});
    out.set_version(order.version);
    out.set_step(order.step);
    out.set_epoch(order.epoch);
    out.set_fence(order.fence);
    out.set_expected_orders(order.expected_orders);
    if (!order.mapping)
        return out;
    group_shape const shape = shape_of(*order.mapping);
    out.set_sets(shape.sets);
    if (order.delta)
    {
        map_delta const& delta = *order.delta;
        out.set_base_version(order.base_version);
        out.set_ranks(shape.ranks);
        out.set_experts(shape.experts);
        out.set_delta_stride(delta.stride);
        out.set_delta_result_hash(delta.result_hash);
        out.mutable_delta_cells()->Assign(
            delta.cells.begin(), delta.cells.end());
        return out;
    }
    for (rank_experts const& set : *order.mapping)
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
    if (in.sets() == 0 || in.delta_stride() != 0)
        return out;
    group_experts mapping;
    int const ranks =
        std::max(1, in.mapping_size() / static_cast<int>(in.sets()));
    for (int n = 0; n < in.mapping_size(); ++n)
    {
        if (n % ranks == 0)
            mapping.emplace_back();
        mapping.back().push_back(to_expert_ids(in.mapping(n).experts()));
    }
    out.mapping = std::make_shared<group_experts const>(std::move(mapping));
    return out;
}

std::vector<passed_on_order> orders_to_pass_on(wire::rank_order const& received)
{
    std::vector<passed_on_order> out;
    for (std::vector<std::size_t> const& row :
         split_recipients(static_cast<std::size_t>(received.recipients_size())))
    {
        wire::order_recipient const& first =
            received.recipients(static_cast<int>(row.front()));
        passed_on_order next{first.agent(), received};
        next.message.set_rank(first.rank());
        next.message.set_expected_orders(first.expected_orders());
        next.message.clear_recipients();
        for (std::size_t k = 1; k < row.size(); ++k)
            *next.message.add_recipients() =
                received.recipients(static_cast<int>(row[k]));
        out.push_back(std::move(next));
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

shared_experts
restore_map(wire::rank_order const& in, group_experts const* base)
{
    // Bounds the memory that a malformed order can claim.
    constexpr std::uint64_t max_cells = std::uint64_t{1} << 24;
    map_delta delta;
    delta.stride = in.delta_stride();
    delta.cells.assign(in.delta_cells().begin(), in.delta_cells().end());
    delta.result_hash = in.delta_result_hash();
    group_shape const shape{in.sets(), in.ranks(), in.experts()};
    bool const plausible =
        std::uint64_t{shape.sets} * shape.ranks <= max_cells &&
        std::uint64_t{shape.sets} * shape.experts <= max_cells;
    std::optional<group_experts> restored;
    if (in.base_version() != 0 && base)
        restored = apply_delta(*base, delta);
    else if (in.base_version() == 0 && plausible)
        restored = apply_delta(initial_experts(shape), delta);
    return restored
               ? std::make_shared<group_experts const>(std::move(*restored))
               : nullptr;
}

} // namespace hornbeamweir
