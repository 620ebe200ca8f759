#include <hornbeamweir/expert_map/hold_coordinator.hpp>
#include <hornbeamweir/expert_map/map_delta.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// An order whose effect is not reported is repeated after this time.
constexpr duration repeat_interval = milliseconds{70};
/// Interval between prepare orders with a whole map, which has about 6 KB for
/// 63 ranks and takes 6 ms on a link of 8 Mbit/s; smaller orders take less.
constexpr duration whole_map_interval = milliseconds{6};
/// Minimum interval between prepare orders.
constexpr duration min_order_interval = std::chrono::microseconds{400};
/// Prepare orders with whole maps that may be sent at once; more fill the send
/// queue of a slow link.
constexpr int max_whole_maps_at_once = 12;

/// Number of experts in all lists of a map.
std::size_t expert_count(group_experts const& map)
{
    std::size_t out = 0;
    for (std::vector<std::vector<std::uint16_t>> const& set : map)
    {
        for (std::vector<std::uint16_t> const& list : set)
            out += list.size();
    }
    return out;
}

} // namespace

void hold_coordinator::order(
    std::uint32_t rank,
    rank_operation operation,
    std::uint64_t version,
    std::uint64_t step,
    time_point now,
    orders& out)
{
    rank_view const& view = views_.at(rank);
    auto const last = sent_.find(rank);
    bool const repeated =
        last != sent_.end() && last->second.operation == operation &&
        last->second.version == version && last->second.step == step;
    bool const is_prepare = operation == rank_operation::prepare;
    // An agent may have lost the base of an order, so that its repetition
    // carries the whole map.
    bool const base_allowed = !repeated && view.state.agent_accepts_deltas;
    prepare_order_size const size =
        is_prepare
            ? size_of_prepare(base_allowed ? view.state.accepted_version : 0)
            : prepare_order_size{};
    duration const min_interval =
        is_prepare ? std::max(
                         repeat_interval,
                         size.interval * static_cast<int>(view.state.ranks))
                   : repeat_interval;
    if (repeated && now - last->second.sent_at < min_interval)
        return;
    if (is_prepare && !admit_prepare_order(size.interval, now))
        return;
    sent_[rank] = {operation, version, step, view.state.orders_begun, now};
    rank_order next;
    next.rank = rank;
    next.operation = operation;
    next.version = version;
    next.step = step;
    next.epoch = view.state.epoch;
    next.fence = order_fence();
    next.expected_orders = view.state.orders_begun;
    if (operation == rank_operation::prepare)
    {
        next.mapping = mapping_;
        next.base_version = size.base_version;
        on_map_ordered(version, mapping_);
    }
    out.push_back(std::move(next));
}

// Token bucket: permits a short burst, then orders at the rate of a slow link.
bool hold_coordinator::admit_prepare_order(duration interval, time_point now)
{
    duration const burst = whole_map_interval * max_whole_maps_at_once;
    prepare_orders_until_ = std::max(prepare_orders_until_, now - burst);
    if (prepare_orders_until_ + interval > now)
        return false;
    prepare_orders_until_ += interval;
    return true;
}

// An agent knows a map if it has passed on the order for it.
hold_coordinator::prepare_order_size
hold_coordinator::size_of_prepare(std::uint64_t accepted_version)
{
    auto const known = prepare_sizes_.find(accepted_version);
    if (known != prepare_sizes_.end())
        return known->second;
    prepare_order_size out{0, whole_map_interval};
    group_experts const* const base = ordered_map(accepted_version);
    std::optional<map_delta> const delta =
        base ? difference_of(*base, mapping_) : std::nullopt;
    std::size_t const numbers = expert_count(mapping_);
    if (delta && delta->cells.size() < numbers)
    {
        out.base_version = accepted_version;
        out.interval = std::max(
            min_order_interval,
            duration{
                whole_map_interval.count() *
                static_cast<duration::rep>(delta->cells.size()) /
                static_cast<duration::rep>(numbers)});
    }
    prepare_sizes_.emplace(accepted_version, out);
    return out;
}

} // namespace hornbeamweir
