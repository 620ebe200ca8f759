#include <hornbeamweir/expert_map/hold_coordinator.hpp>
#include <hornbeamweir/expert_map/map_delta.hpp>
#include <hornbeamweir/expert_map/order_relay.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// An order whose effect is not reported is repeated after this time, or later
/// in large groups.
constexpr duration min_repeat_interval = milliseconds{70};
/// The same for prepare orders, which agents pass on to each other.
constexpr duration min_prepare_repeat_interval = milliseconds{350};
/// Time in which a coordinator on a thin VM sends an order and reads the report
/// that answers it.
constexpr duration time_per_rank = milliseconds{1};
constexpr int prepare_repeat_factor = 3;
/// Times that an order carries only a difference of maps, before the whole map
/// is sent: a datagram may have been lost, or the agent does not know the base.
constexpr int max_times_with_delta = 2;
/// Part of the link that prepare orders may use.
constexpr double link_fraction = 0.5;
/// Time of the link that prepare orders may take at once; more fills the send
/// queue.
constexpr duration max_burst = milliseconds{70};
constexpr double bits_per_byte = 8;
/// Encoded size of an order without its map.
constexpr double order_bytes = 100;
/// Encoded sizes of an expert, of an expert list, and of a cell of a
/// difference: most numbers need two bytes or one.
constexpr double bytes_per_expert = 1.8;
constexpr double bytes_per_list = 4;
constexpr double bytes_per_cell = 1.5;

duration repeat_interval(rank_operation operation, std::uint32_t ranks)
{
    duration const round = time_per_rank * ranks;
    return operation == rank_operation::prepare
               ? std::max(
                     min_prepare_repeat_interval, prepare_repeat_factor * round)
               : std::max(min_repeat_interval, round);
}

double encoded_bytes(group_experts const& map)
{
    double out = order_bytes;
    for (rank_experts const& set : map)
    {
        for (std::vector<std::uint16_t> const& list : set)
            out += bytes_per_list +
                   bytes_per_expert * static_cast<double>(list.size());
    }
    return out;
}

double encoded_bytes(map_delta const& delta)
{
    return order_bytes +
           bytes_per_cell * static_cast<double>(delta.cells.size());
}

} // namespace

void hold_coordinator::on_map_ordered(
    std::uint64_t version, shared_experts mapping)
{
    constexpr std::size_t max_maps = 8;
    ordered_maps_.insert_or_assign(version, std::move(mapping));
    // Maps in force are kept; they are often older than many abandoned ones.
    auto const oldest_unused = std::find_if(
        ordered_maps_.begin(),
        ordered_maps_.end(),
        [this](auto const& map)
        {
            return map.first != local_map_version_ &&
                   std::none_of(
                       views_.begin(),
                       views_.end(),
                       [&](auto const& view)
                       { return view.second.state.map_version == map.first; });
        });
    if (ordered_maps_.size() > max_maps && oldest_unused != ordered_maps_.end())
        ordered_maps_.erase(oldest_unused);
}

void hold_coordinator::order(
    std::uint32_t rank,
    rank_operation operation,
    std::uint64_t version,
    std::uint64_t step,
    time_point now,
    orders& out)
{
    rank_view const& view = views_.at(rank);
    auto const known = sent_.find(rank);
    sent_order last{operation, version, step, 0, {}, 0};
    bool const repeated =
        known != sent_.end() && known->second.operation == operation &&
        known->second.version == version && known->second.step == step;
    if (repeated)
        last = known->second;
    bool const is_prepare = operation == rank_operation::prepare;
    prepare_encoding const encoding =
        is_prepare ? encoding_of_prepare(view.state, last.times)
                   : prepare_encoding{};
    if (repeated &&
        now - last.sent_at < repeat_interval(operation, view.state.ranks))
        return;
    // Orders that agents pass on leave this VM only once for several ranks.
    bool const may_be_relayed =
        is_prepare && !repeated && view.state.agent_knows_initial_map;
    duration const share = may_be_relayed ? encoding.transfer_time *
                                                relay_fan_out / view.state.ranks
                                          : encoding.transfer_time;
    if (is_prepare && !admit_prepare_order(share, now))
        return;
    sent_[rank] = {
        operation, version, step, view.state.orders_begun, now, last.times + 1};
    rank_order next;
    next.rank = rank;
    next.operation = operation;
    next.version = version;
    next.step = step;
    next.epoch = view.state.epoch;
    next.fence = order_fence();
    next.expected_orders = view.state.orders_begun;
    if (is_prepare)
    {
        next.mapping = mapping_;
        next.delta = encoding.delta;
        next.base_version = encoding.base_version;
        next.may_be_relayed = may_be_relayed;
        on_map_ordered(version, mapping_);
    }
    out.push_back(std::move(next));
}

duration hold_coordinator::transfer_time(double bytes) const noexcept
{
    // A megabit per second is a bit per microsecond.
    return duration{static_cast<duration::rep>(
        bytes * bits_per_byte / (link_fraction * link_megabits_per_second_))};
}

// Token bucket: permits a short burst, then orders at the rate of the link.
bool hold_coordinator::admit_prepare_order(duration interval, time_point now)
{
    prepare_orders_until_ = std::max(prepare_orders_until_, now - max_burst);
    if (prepare_orders_until_ > now)
        return false;
    prepare_orders_until_ += interval;
    return true;
}

hold_coordinator::prepare_encoding hold_coordinator::whole_map() const
{
    return {nullptr, 0, transfer_time(encoded_bytes(*mapping_))};
}

hold_coordinator::prepare_encoding hold_coordinator::difference_to(
    std::uint64_t base_version, group_experts const& base) const
{
    std::optional<map_delta> delta = difference_of(base, *mapping_);
    if (!delta || encoded_bytes(*delta) >= encoded_bytes(*mapping_))
        return whole_map();
    duration const time = transfer_time(encoded_bytes(*delta));
    return {
        std::make_shared<map_delta const>(std::move(*delta)),
        base_version,
        time};
}

// An agent knows a map if it has passed on the order for it, and the initial
// map of its group by the group's shape.
hold_coordinator::prepare_encoding
hold_coordinator::encoding_of_prepare(rank_state const& state, int times_sent)
{
    if (times_sent >= max_times_with_delta || !state.agent_accepts_deltas)
        return whole_map();
    group_experts const* base = ordered_map(state.accepted_version);
    std::uint64_t const base_version = base ? state.accepted_version : 0;
    bool const is_cached = prepare_encodings_.contains(base_version);
    if (!base && !state.agent_knows_initial_map)
        return whole_map();
    if (!is_cached && base)
        prepare_encodings_[base_version] = difference_to(base_version, *base);
    if (!is_cached && !base)
    {
        group_shape const shape = shape_of(*mapping_);
        prepare_encodings_[0] = difference_to(0, initial_experts(shape));
    }
    return prepare_encodings_.at(base_version);
}

} // namespace hornbeamweir
