#include <hornbeamweir/placement/layer_layout.hpp>

#include <algorithm>
#include <numeric>

namespace hornbeamweir
{

namespace
{

double squared_excess(double time, double target)
{
    double const over = std::max(0.0, time - target);
    return over * over;
}

double sum(std::span<double const> values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

layer_layout::layer_layout(
    std::span<std::uint16_t const> slots,
    std::span<double const> shares,
    std::span<double const> speeds)
    : slots_(slots.begin(), slots.end())
    , loads_(shares.begin(), shares.end())
    , speeds_(speeds.begin(), speeds.end())
    , times_(speeds.size(), 0.0)
    , slots_by_expert_(shares.size())
    , slots_per_rank_{static_cast<std::uint32_t>(slots.size() / speeds.size())}
    , time_deltas_(speeds.size(), 0.0)
    , replica_changes_(shares.size(), 0)
{
    double const total = sum(shares);
    double const scale = total > 0 ? sum(speeds) / total : 0;
    for (double& load : loads_)
        load *= scale;
    for (std::uint32_t slot = 0; slot < slots_.size(); ++slot)
        slots_by_expert_.at(slots_[slot]).push_back(slot);
    for (std::uint32_t slot = 0; slot < slots_.size(); ++slot)
    {
        std::uint32_t const rank = rank_of(slot);
        times_[rank] += load_per_replica_after(slots_[slot]) / speeds_[rank];
    }
}

std::vector<std::uint16_t> const& layer_layout::slots() const noexcept
{
    return slots_;
}

std::vector<double> const& layer_layout::times() const noexcept
{
    return times_;
}

std::uint32_t layer_layout::slots_per_rank() const noexcept
{
    return slots_per_rank_;
}

std::uint32_t layer_layout::rank_of(std::uint32_t slot) const noexcept
{
    return slot / slots_per_rank_;
}

std::size_t layer_layout::experts() const noexcept
{
    return loads_.size();
}

std::size_t layer_layout::replicas(std::uint16_t expert) const
{
    return slots_by_expert_[expert].size();
}

bool layer_layout::holds(std::uint32_t rank, std::uint16_t expert) const
{
    auto const first =
        slots_.begin() + static_cast<std::ptrdiff_t>(rank) * slots_per_rank_;
    auto const last = first + slots_per_rank_;
    return std::find(first, last, expert) != last;
}

std::uint32_t layer_layout::slowest_rank() const
{
    auto const it = std::max_element(times_.begin(), times_.end());
    return static_cast<std::uint32_t>(it - times_.begin());
}

double layer_layout::slowest_time() const
{
    return *std::max_element(times_.begin(), times_.end());
}

double layer_layout::skew() const
{
    double const total = sum(times_);
    double const ranks = static_cast<double>(times_.size());
    return total > 0 ? slowest_time() * ranks / total : 1;
}

double layer_layout::excess_reduction(
    std::span<slot_change const> changes, double target)
{
    accumulate_deltas(changes);
    double reduction = 0;
    for (std::uint32_t const rank : changed_ranks_)
    {
        double const before = times_[rank];
        reduction += squared_excess(before, target);
        reduction -= squared_excess(before + time_deltas_[rank], target);
        // Cleared here, as changed_ranks_ may list a rank more than once.
        time_deltas_[rank] = 0;
    }
    clear_scratch();
    return reduction;
}

void layer_layout::apply(std::span<slot_change const> changes)
{
    accumulate_deltas(changes);
    for (std::uint32_t const rank : changed_ranks_)
    {
        times_[rank] += time_deltas_[rank];
        time_deltas_[rank] = 0;
    }
    clear_scratch();
    for (slot_change const& change : changes)
    {
        std::erase(slots_by_expert_[slots_[change.slot]], change.slot);
        slots_by_expert_[change.expert].push_back(change.slot);
        slots_[change.slot] = change.expert;
    }
}

void layer_layout::add_time_delta(std::uint32_t rank, double load)
{
    time_deltas_[rank] += load / speeds_[rank];
    changed_ranks_.push_back(rank);
}

void layer_layout::accumulate_deltas(std::span<slot_change const> changes)
{
    for (slot_change const& change : changes)
    {
        add_replica_change(slots_[change.slot], -1);
        add_replica_change(change.expert, 1);
    }
    for (std::uint16_t const expert : changed_experts_)
    {
        if (replica_changes_[expert] == 0)
            continue;
        double const load = loads_[expert];
        double const before = load / static_cast<double>(replicas(expert));
        double const change = load_per_replica_after(expert) - before;
        for (std::uint32_t const slot : slots_by_expert_[expert])
            add_time_delta(rank_of(slot), change);
    }
    for (slot_change const& change : changes)
    {
        std::uint32_t const rank = rank_of(change.slot);
        add_time_delta(
            rank,
            load_per_replica_after(change.expert) -
                load_per_replica_after(slots_[change.slot]));
    }
}

void layer_layout::add_replica_change(std::uint16_t expert, int change)
{
    replica_changes_[expert] += change;
    auto const it =
        std::find(changed_experts_.begin(), changed_experts_.end(), expert);
    if (it == changed_experts_.end())
        changed_experts_.push_back(expert);
}

double layer_layout::load_per_replica_after(std::uint16_t expert) const
{
    int const count =
        static_cast<int>(replicas(expert)) + replica_changes_[expert];
    return count > 0 ? loads_[expert] / count : 0;
}

void layer_layout::clear_scratch() noexcept
{
    for (std::uint16_t const expert : changed_experts_)
        replica_changes_[expert] = 0;
    changed_experts_.clear();
    changed_ranks_.clear();
}

} // namespace hornbeamweir
