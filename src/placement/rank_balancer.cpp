#include <hornbeamweir/placement/rank_balancer.hpp>

#include <algorithm>
#include <numeric>
#include <set>

namespace hornbeamweir
{

namespace
{

using rank_list = std::vector<std::uint32_t>;

/// Ranks to which a move is tried; bounds the search in large groups.
constexpr std::size_t max_targets = 16;

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
        imbalance_ = imbalance(times_);
        // A smaller gain does not justify copying an expert.
        best_imbalance_ = imbalance_ * (1 - limits_.min_gain);
        select_targets(slowest);
        for (std::uint16_t const expert : experts_by_rank_[slowest])
        {
            for (std::uint32_t const to : targets_)
                try_moves(expert, slowest, to);
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
    struct time_change
    {
        std::uint32_t rank = 0;
        double delta = 0;
    };

    // The eighth power lets the longest time dominate; the other times break
    // ties.
    [[nodiscard]] static double eighth_power(double time) noexcept
    {
        double const square = time * time;
        double const fourth_power = square * square;
        return fourth_power * fourth_power;
    }

    [[nodiscard]] static double imbalance(std::vector<double> const& times)
    {
        double out = 0;
        for (double const it : times)
            out += eighth_power(it);
        return out;
    }

    // A move to a rank with an average load hardly ever is the best one, so
    // that only the least loaded ranks are tried.
    void select_targets(std::uint32_t slowest)
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

    // Evaluates only the ranks whose times the move changes: computing all
    // times anew takes most of the search in a large group.
    void consider(move const& proposed)
    {
        changes_.clear();
        change_expert(proposed);
        if (proposed.displaced)
            change_displaced(proposed);
        double value = imbalance_;
        for (time_change const& it : changes_)
            value += eighth_power(times_[it.rank] + it.delta) -
                     eighth_power(times_[it.rank]);
        if (value < best_imbalance_)
        {
            best_imbalance_ = value;
            best_ = proposed;
        }
    }

    // The expert leaves its source rank, or not, and joins the target.
    void change_expert(move const& it)
    {
        rank_list const& ranks = ranks_by_expert_[it.expert];
        std::size_t const joined = it.to != it.from ? 1 : 0;
        std::size_t const left = it.leaves_source ? 1 : 0;
        double const before =
            shares_[it.expert] / static_cast<double>(ranks.size());
        double const after = shares_[it.expert] /
                             static_cast<double>(ranks.size() + joined - left);
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
    void change_displaced(move const& it)
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

    void change_time(std::uint32_t rank, double relative_time)
    {
        double const delta = relative_time * slowdowns_[rank];
        for (time_change& it : changes_)
        {
            if (it.rank == rank)
            {
                it.delta += delta;
                return;
            }
        }
        changes_.push_back({rank, delta});
    }

    void update_ranks(move const& it)
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
    double imbalance_ = 0;
    std::vector<time_change> changes_;
    /// Ranks to which experts are moved, the least loaded first.
    rank_list targets_;
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

double placement_skew(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns)
{
    return placement_search{current, shares, slowdowns, {}}.slowest_time();
}

} // namespace hornbeamweir
