#include "placement_search.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamweir
{

namespace
{

/// Ranks to which a move is tried; bounds the search in large groups.
constexpr std::size_t max_targets = 16;

} // namespace

double placement_search::find()
{
    std::uint32_t const slowest = static_cast<std::uint32_t>(
        std::max_element(times_.begin(), times_.end()) - times_.begin());
    best_.reset();
    powers_.clear();
    for (double const it : times_)
        powers_.push_back(eighth_power(it));
    imbalance_ = std::accumulate(powers_.begin(), powers_.end(), 0.0);
    // A smaller gain does not justify copying an expert. It is relative to
    // the slowest rank: in a large group the sum is spread over many ranks,
    // and no single move reduces it by much.
    max_imbalance_ = imbalance_ - powers_[slowest] * limits_.min_gain;
    best_gain_ = 0;
    select_targets(slowest);
    for (std::uint16_t const expert : experts_by_rank_[slowest])
    {
        for (std::uint32_t const to : targets_)
            try_moves(expert, slowest, to);
    }
    try_dropping(slowest);
    if (!best_)
        return 0;
    constexpr double root = 0.125;
    double const gain = std::pow(imbalance_, root) -
                        std::pow(std::max(0.0, best_imbalance_), root);
    double const copies = copies_of(*best_);
    if (gain < limits_.min_gain_per_copy * copies)
        return 0;
    return gain / (copies + free_move);
}

// Most moves make the target as slow as the slowest rank, or don't relieve
// it, which costs less to find out than their gain.
bool placement_search::may_gain(placement_move const& it) const
{
    if (it.to == it.from)
        return true;
    double const ranks =
        static_cast<double>(ranks_by_expert_[it.expert].size());
    double const share = shares_[it.expert];
    double added = share / (it.leaves_source ? ranks : ranks + 1);
    if (it.displaced)
    {
        double const displaced =
            shares_[*it.displaced] /
            static_cast<double>(ranks_by_expert_[*it.displaced].size());
        if (it.swaps && displaced >= share / ranks)
            return false;
        added -= displaced;
    }
    double const to_time = times_[it.to] + added * slowdowns_[it.to];
    if (to_time >= times_[it.from])
        return false;
    if (!it.leaves_source)
        return true;
    // The times of other ranks can only rise.
    double removed = share / ranks;
    if (it.swaps)
        removed -= shares_[*it.displaced] /
                   static_cast<double>(ranks_by_expert_[*it.displaced].size());
    double const from_time = times_[it.from] - removed * slowdowns_[it.from];
    double const max_reduction = powers_[it.to] - eighth_power(to_time) +
                                 powers_[it.from] - eighth_power(from_time);
    return imbalance_ - max_reduction < max_imbalance_ &&
           max_reduction > best_gain_ * weight_of(it);
}

// Evaluates only the ranks whose times the move changes: computing all
// times anew takes most of the search in a large group.
void placement_search::consider(placement_move const& proposed)
{
    if (!may_gain(proposed))
        return;
    changes_.clear();
    change_expert(proposed);
    if (proposed.displaced)
        change_displaced(proposed);
    double value = imbalance_;
    for (time_change const& it : changes_)
        value += eighth_power(times_[it.rank] + it.delta) - powers_[it.rank];
    if (value >= max_imbalance_)
        return;
    double const gain = (imbalance_ - value) / weight_of(proposed);
    if (gain <= best_gain_)
        return;
    best_gain_ = gain;
    best_imbalance_ = value;
    best_ = proposed;
}

// The expert leaves its source rank, or not, and joins the target.
void placement_search::change_expert(placement_move const& it)
{
    rank_list const& ranks = ranks_by_expert_[it.expert];
    std::size_t const joined = it.to != it.from ? 1 : 0;
    std::size_t const left = it.leaves_source ? 1 : 0;
    double const before =
        shares_[it.expert] / static_cast<double>(ranks.size());
    double const after =
        shares_[it.expert] / static_cast<double>(ranks.size() + joined - left);
    for (std::uint32_t const rank : ranks)
    {
        bool const leaves = it.leaves_source && rank == it.from;
        change_time(rank, leaves ? -before : after - before);
    }
    if (joined > 0)
        change_time(it.to, after);
}

// The displaced expert leaves the target, and moves to the source in a
// swap.
void placement_search::change_displaced(placement_move const& it)
{
    rank_list const& ranks = ranks_by_expert_[*it.displaced];
    double const share = shares_[*it.displaced];
    double const before = share / static_cast<double>(ranks.size());
    double const after =
        share / static_cast<double>(ranks.size() - (it.swaps ? 0 : 1));
    for (std::uint32_t const rank : ranks)
        change_time(rank, rank == it.to ? -before : after - before);
    if (it.swaps)
        change_time(it.from, after);
}

void placement_search::apply(placement_move const& it)
{
    add_time(it.expert, -1, times_);
    if (it.displaced)
        add_time(*it.displaced, -1, times_);
    update_ranks(it);
    add_time(it.expert, 1, times_);
    if (it.displaced)
        add_time(*it.displaced, 1, times_);
    if (it.displaced)
        remove_expert(it.to, *it.displaced);
    if (it.leaves_source)
        remove_expert(it.from, it.expert);
    if (it.to != it.from)
        add_expert(it.to, it.expert);
    if (it.swaps)
        add_expert(it.from, *it.displaced);
}

// A move to a rank with an average load hardly ever is the best one, so
// that only the least loaded ranks are tried.
void placement_search::select_targets(std::uint32_t slowest)
{
    targets_.clear();
    for (std::uint32_t rank = 0; rank < times_.size(); ++rank)
    {
        if (rank != slowest)
            targets_.push_back(rank);
    }
    std::size_t const n = std::min(max_targets, targets_.size());
    std::partial_sort(
        targets_.begin(),
        targets_.begin() + static_cast<std::ptrdiff_t>(n),
        targets_.end(),
        [this](std::uint32_t lhs, std::uint32_t rhs)
        { return times_[lhs] < times_[rhs]; });
    targets_.resize(n);
}

void placement_search::update_ranks(placement_move const& it)
{
    rank_list& ranks = ranks_by_expert_[it.expert];
    if (it.leaves_source)
        std::erase(ranks, it.from);
    if (it.to != it.from)
        ranks.push_back(it.to);
    if (!it.displaced)
        return;
    rank_list& displaced = ranks_by_expert_[*it.displaced];
    std::erase(displaced, it.to);
    if (it.swaps)
        displaced.push_back(it.from);
}

balanced_placement placement_search::result(double skew_before) const
{
    balanced_placement out;
    out.skew_before = skew_before;
    out.skew_after = slowest_time();
    for (std::uint32_t rank = 0; rank < experts_by_rank_.size(); ++rank)
    {
        std::vector<std::uint16_t> experts = experts_by_rank_[rank];
        std::sort(experts.begin(), experts.end());
        out.ranks.push_back(std::move(experts));
        out.moves += new_experts_[rank];
        out.max_moves_per_rank =
            std::max(out.max_moves_per_rank, new_experts_[rank]);
    }
    return out;
}

void placement_search::try_moves(
    std::uint16_t expert, std::uint32_t from, std::uint32_t to)
{
    if (holds(to, expert) || !can_accept(to, expert))
        return;
    if (experts_by_rank_[to].size() < limits_.slots_per_rank)
    {
        consider({expert, from, to, std::nullopt, false, false});
        consider({expert, from, to, std::nullopt, true, false});
    }
    for (std::uint16_t const displaced : experts_by_rank_[to])
    {
        if (ranks_by_expert_[displaced].size() > 1)
        {
            consider({expert, from, to, displaced, false, false});
            consider({expert, from, to, displaced, true, false});
        }
        if (!holds(from, displaced) && can_accept(from, displaced))
            consider({expert, from, to, displaced, true, true});
    }
}

double placement_search::copies_of(placement_move const& it) const
{
    double out = 0;
    if (it.to != it.from && original_[index(it.to, it.expert)] == 0)
        ++out;
    if (it.swaps && original_[index(it.from, *it.displaced)] == 0)
        ++out;
    return out;
}

} // namespace hornbeamweir
