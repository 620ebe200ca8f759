#include <hornbeamweir/placement/layer_search.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace hornbeamweir
{

namespace
{

/// Fractions of the imbalance that may remain. plan_layer() runs one search for
/// each.
constexpr std::array<double, 6> remaining_imbalance_fractions{
    0.0, 0.1, 0.25, 0.4, 0.6, 0.8};
/// Number of slots on the fastest ranks that are considered for long chains.
constexpr std::size_t max_chain_slots = 24;
/// Smaller reductions are treated as rounding errors.
constexpr double min_excess_reduction = 1e-9;

struct candidate
{
    std::array<slot_change, 3> changes{};
    std::size_t size = 0;
    /// Reduction of the squared excess for each change.
    double reduction_per_change = 0;

    [[nodiscard]] std::span<slot_change const> span() const
    {
        return {changes.data(), size};
    }
};

// Local search by ejection chains. Each step moves an expert of the slowest
// rank into a slot of another rank. The displaced expert is dropped if it has
// other replicas; otherwise it displaces another expert or fills the freed
// slot.
class chain_search
{
public:
    chain_search(layer_layout const& start, double target)
        : layout_{start}
        , target_{target}
    {
    }

    [[nodiscard]] layer_layout const& layout() const noexcept
    {
        return layout_;
    }

    [[nodiscard]] bool step()
    {
        slow_rank_ = layout_.slowest_rank();
        double const slowest_time = layout_.times()[slow_rank_];
        if (slowest_time <= target_)
            return false;
        max_receiver_time_ = (slowest_time + target_) / 2;
        best_ = {};
        try_short_chains();
        if (best_.size == 0)
            try_long_chains();
        if (best_.size == 0)
            return false;
        layout_.apply(best_.span());
        return true;
    }

private:
    void try_short_chains()
    {
        std::uint32_t const first = slow_rank_ * layout_.slots_per_rank();
        std::uint32_t const last = first + layout_.slots_per_rank();
        for (std::uint32_t from = first; from < last; ++from)
        {
            try_replacing(from);
            for (std::uint32_t to = 0; to < layout_.slots().size(); ++to)
                try_moving(from, to);
        }
    }

    void try_replacing(std::uint32_t slot)
    {
        if (layout_.replicas(expert_at(slot)) < 2)
            return;
        for (std::size_t n = 0; n < layout_.experts(); ++n)
        {
            std::uint16_t const expert = static_cast<std::uint16_t>(n);
            if (!layout_.holds(slow_rank_, expert))
                consider({{slot_change{slot, expert}}, 1});
        }
    }

    void try_moving(std::uint32_t from, std::uint32_t to)
    {
        std::uint32_t const rank = layout_.rank_of(to);
        if (layout_.times()[rank] > max_receiver_time_ ||
            layout_.holds(rank, expert_at(from)))
            return;
        std::uint16_t const moved = expert_at(from);
        std::uint16_t const displaced = expert_at(to);
        if (layout_.replicas(displaced) > 1)
            consider({{slot_change{to, moved}}, 1});
        if (!layout_.holds(slow_rank_, displaced))
            consider({{slot_change{to, moved}, {from, displaced}}, 2});
    }

    void try_long_chains()
    {
        std::vector<std::uint32_t> const receivers = slots_of_fastest_ranks();
        std::uint32_t const first = slow_rank_ * layout_.slots_per_rank();
        std::uint32_t const last = first + layout_.slots_per_rank();
        for (std::uint32_t from = first; from < last; ++from)
        {
            for (std::uint32_t const middle : receivers)
            {
                if (layout_.holds(layout_.rank_of(middle), expert_at(from)))
                    continue;
                for (std::uint32_t const end : receivers)
                    try_chain(from, middle, end);
            }
        }
    }

    void try_chain(std::uint32_t from, std::uint32_t middle, std::uint32_t end)
    {
        std::uint16_t const displaced = expert_at(middle);
        std::uint16_t const ejected = expert_at(end);
        std::uint32_t const end_rank = layout_.rank_of(end);
        if (end_rank == layout_.rank_of(middle) ||
            layout_.holds(end_rank, displaced))
            return;
        slot_change const first{middle, expert_at(from)};
        slot_change const second{end, displaced};
        if (layout_.replicas(ejected) > 1)
            consider({{first, second}, 2});
        if (!layout_.holds(slow_rank_, ejected))
            consider({{first, second, {from, ejected}}, 3});
    }

    [[nodiscard]] std::vector<std::uint32_t> slots_of_fastest_ranks() const
    {
        std::vector<double> const& times = layout_.times();
        std::vector<std::uint32_t> slots(layout_.slots().size());
        std::iota(slots.begin(), slots.end(), 0U);
        std::stable_sort(
            slots.begin(),
            slots.end(),
            [this, &times](std::uint32_t a, std::uint32_t b)
            { return times[layout_.rank_of(a)] < times[layout_.rank_of(b)]; });
        std::size_t const others = slots.size() - layout_.slots_per_rank();
        slots.resize(std::min(max_chain_slots, others));
        return slots;
    }

    void consider(candidate proposed)
    {
        double const reduction =
            layout_.excess_reduction(proposed.span(), target_);
        proposed.reduction_per_change =
            reduction / static_cast<double>(proposed.size);
        if (proposed.reduction_per_change >
            std::max(best_.reduction_per_change, min_excess_reduction))
            best_ = proposed;
    }

    [[nodiscard]] std::uint16_t expert_at(std::uint32_t slot) const
    {
        return layout_.slots()[slot];
    }

    layer_layout layout_;
    double target_;
    std::uint32_t slow_rank_ = 0;
    /// Maximum time of a rank that may receive load.
    double max_receiver_time_ = 0;
    candidate best_;
};

std::size_t moves_between(layer_layout const& from, layer_layout const& to)
{
    std::size_t moves = 0;
    for (std::uint32_t slot = 0; slot < to.slots().size(); ++slot)
    {
        if (!from.holds(from.rank_of(slot), to.slots()[slot]))
            ++moves;
    }
    return moves;
}

double value_of(layer_plan const& plan, double cost_per_move)
{
    return plan.gain() - cost_per_move * static_cast<double>(plan.moves);
}

double relative_capacity(std::span<double const> speeds)
{
    double const total = std::accumulate(speeds.begin(), speeds.end(), 0.0);
    return total / *std::max_element(speeds.begin(), speeds.end());
}

} // namespace

// A single step often only shifts the excess between ranks, so the layout after
// each step towards each target is evaluated as a separate plan.
layer_plan plan_layer(layer_layout const& start, search_limits const& limits)
{
    double const before = start.slowest_time();
    double const cost_per_move =
        limits.full_reload_cost / static_cast<double>(start.slots().size());
    layer_plan best{start.slots(), 0, before, before};
    for (double const fraction : remaining_imbalance_fractions)
    {
        double const target_gain = (1 - fraction) * (before - 1);
        if (target_gain < limits.min_gain)
            continue;
        chain_search search{start, before - target_gain};
        while (search.step())
        {
            layer_layout const& layout = search.layout();
            layer_plan plan{{}, 0, before, layout.slowest_time()};
            plan.moves = moves_between(start, layout);
            double const cost = cost_per_move * static_cast<double>(plan.moves);
            if (plan.moves > limits.max_moves ||
                target_gain - cost <= value_of(best, cost_per_move))
                break;
            if (plan.gain() < limits.min_gain ||
                value_of(plan, cost_per_move) <= value_of(best, cost_per_move))
                continue;
            plan.slots = layout.slots();
            best = std::move(plan);
        }
    }
    return best;
}

// Bisects the maximum share per replica: finds the smallest one at which all
// replicas fit the slots, with at most one replica of an expert on each rank.
double slowest_time_lower_bound(
    std::span<double const> shares,
    std::span<double const> speeds,
    std::size_t slots)
{
    double const total = std::accumulate(shares.begin(), shares.end(), 0.0);
    double const capacity = relative_capacity(speeds);
    double low = 0;
    double high = total;
    for (int n = 0; n < 50; ++n)
    {
        double const max_share = (low + high) / 2;
        double needed = 0;
        bool fits = max_share > 0;
        for (double const share : shares)
        {
            double const replicas = std::max(1.0, std::ceil(share / max_share));
            fits = fits && replicas <= static_cast<double>(speeds.size());
            needed += replicas;
        }
        bool const enough = fits && needed <= static_cast<double>(slots);
        (enough ? high : low) = max_share;
    }
    return std::max(1.0, low * capacity / total);
}

} // namespace hornbeamweir
