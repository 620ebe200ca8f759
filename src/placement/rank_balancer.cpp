#include <hornbeamweir/placement/rank_balancer.hpp>

#include <algorithm>
#include <numeric>
#include <set>

namespace hornbeamweir
{

namespace
{

using rank_list = std::vector<std::uint32_t>;

/// A change of the placement: an expert is added to a rank, into an empty slot
/// or in place of another expert, and may be removed from its source rank. A
/// displaced expert is removed if it has other ranks, or moves to the source
/// rank. If both ranks are equal, the expert is only removed from it.
struct move
{
    std::uint16_t expert = 0;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    /// Expert that is displaced; none if an empty slot is used.
    std::optional<std::uint16_t> displaced;
    /// Whether the expert is removed from its source rank.
    bool leaves_source = false;
    /// Whether the displaced expert moves to the source rank.
    bool swaps = false;
};

class placement_search
{
public:
    placement_search(
        std::vector<std::vector<std::uint16_t>> const& current,
        std::span<double const> shares,
        std::span<double const> slowdowns,
        balance_limits const& limits)
        : limits_{limits}
        , slowdowns_(slowdowns.begin(), slowdowns.end())
        , shares_(shares.begin(), shares.end())
        , ranks_by_expert_(shares.size())
        , original_experts_(current.size())
        , experts_by_rank_(current.size())
        , new_experts_(current.size(), 0)
        , times_(current.size(), 0)
    {
        for (std::uint32_t rank = 0; rank < current.size(); ++rank)
        {
            for (std::uint16_t const expert : current[rank])
            {
                original_experts_[rank].insert(expert);
                experts_by_rank_[rank].push_back(expert);
                ranks_by_expert_.at(expert).push_back(rank);
            }
        }
        double const total =
            std::accumulate(shares_.begin(), shares_.end(), 0.0);
        double const scale =
            total > 0 ? static_cast<double>(current.size()) / total : 0;
        for (double& it : shares_)
            it *= scale;
        for (std::size_t n = 0; n < shares_.size(); ++n)
            add_time(static_cast<std::uint16_t>(n), 1, times_);
    }

    [[nodiscard]] double slowest_time() const
    {
        return *std::max_element(times_.begin(), times_.end());
    }

    /// \brief Applies the best move of an expert of the slowest rank.
    /// \returns False if no move has the minimum gain.
    [[nodiscard]] bool improve()
    {
        std::uint32_t const slowest = static_cast<std::uint32_t>(
            std::max_element(times_.begin(), times_.end()) - times_.begin());
        best_.reset();
        // A smaller gain does not justify copying an expert.
        best_imbalance_ = imbalance(times_) * (1 - limits_.min_gain);
        for (std::uint16_t const expert : experts_by_rank_[slowest])
        {
            for (std::uint32_t to = 0; to < experts_by_rank_.size(); ++to)
            {
                if (to != slowest)
                    try_moves(expert, slowest, to);
            }
        }
        try_dropping(slowest);
        if (!best_)
            return false;
        apply(*best_);
        return true;
    }

    [[nodiscard]] balanced_placement result(double skew_before) const
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

private:
    // The eighth power lets the longest time dominate; the other times break
    // ties.
    [[nodiscard]] static double imbalance(std::vector<double> const& times)
    {
        double out = 0;
        for (double const it : times)
        {
            double const square = it * it;
            out += square * square * square * square;
        }
        return out;
    }

    void add_time(
        std::uint16_t expert, double sign, std::vector<double>& times) const
    {
        rank_list const& ranks = ranks_by_expert_[expert];
        if (ranks.empty())
            return;
        double const part = shares_[expert] / static_cast<double>(ranks.size());
        for (std::uint32_t const rank : ranks)
            times[rank] += sign * part * slowdowns_[rank];
    }

    [[nodiscard]] bool holds(std::uint32_t rank, std::uint16_t expert) const
    {
        rank_list const& ranks = ranks_by_expert_[expert];
        return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
    }

    [[nodiscard]] bool
    can_accept(std::uint32_t rank, std::uint16_t expert) const
    {
        return original_experts_[rank].contains(expert) ||
               new_experts_[rank] < limits_.max_new_per_rank;
    }

    void try_moves(std::uint16_t expert, std::uint32_t from, std::uint32_t to)
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

    // The time of a rank also falls if an expert with other ranks is removed.
    void try_dropping(std::uint32_t slowest)
    {
        for (std::uint16_t const expert : experts_by_rank_[slowest])
        {
            if (ranks_by_expert_[expert].size() < 2)
                continue;
            move removal{expert, slowest, slowest, std::nullopt, true, false};
            consider(removal);
        }
    }

    void consider(move const& proposed)
    {
        std::vector<double> times = times_;
        add_time(proposed.expert, -1, times);
        if (proposed.displaced)
            add_time(*proposed.displaced, -1, times);
        update_ranks(proposed);
        add_time(proposed.expert, 1, times);
        if (proposed.displaced)
            add_time(*proposed.displaced, 1, times);
        restore_ranks(proposed);
        double const value = imbalance(times);
        if (value < best_imbalance_)
        {
            best_imbalance_ = value;
            best_ = proposed;
        }
    }

    void update_ranks(move const& it)
    {
        rank_list& ranks = ranks_by_expert_[it.expert];
        saved_expert_ranks_ = ranks;
        if (it.displaced)
            saved_displaced_ranks_ = ranks_by_expert_[*it.displaced];
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

    void restore_ranks(move const& it)
    {
        ranks_by_expert_[it.expert] = saved_expert_ranks_;
        if (it.displaced)
            ranks_by_expert_[*it.displaced] = saved_displaced_ranks_;
    }

    void add_expert(std::uint32_t rank, std::uint16_t expert)
    {
        experts_by_rank_[rank].push_back(expert);
        if (!original_experts_[rank].contains(expert))
            ++new_experts_[rank];
    }

    void remove_expert(std::uint32_t rank, std::uint16_t expert)
    {
        std::erase(experts_by_rank_[rank], expert);
        if (!original_experts_[rank].contains(expert))
            --new_experts_[rank];
    }

    void apply(move const& it)
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

    balance_limits limits_;
    std::vector<double> slowdowns_;
    std::vector<double> shares_;
    std::vector<rank_list> ranks_by_expert_;
    std::vector<std::set<std::uint16_t>> original_experts_;
    std::vector<std::vector<std::uint16_t>> experts_by_rank_;
    /// Number of experts of each rank that it did not hold at the start.
    std::vector<std::uint32_t> new_experts_;
    std::vector<double> times_;
    std::optional<move> best_;
    double best_imbalance_ = 0;
    rank_list saved_expert_ranks_;
    rank_list saved_displaced_ranks_;
};

} // namespace

balanced_placement balance_ranks(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns,
    balance_limits const& limits)
{
    // Bounds the run time: two moves for each expert on average.
    std::size_t const max_steps = 2 * shares.size();
    placement_search search{current, shares, slowdowns, limits};
    double const skew_before = search.slowest_time();
    for (std::size_t n = 0; n < max_steps; ++n)
    {
        if (!search.improve())
            break;
    }
    return search.result(skew_before);
}

} // namespace hornbeamweir
